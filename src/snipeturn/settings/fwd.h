#pragma once

namespace snipeturn {

struct Application;
struct CallerIdentity;
struct Catalog;
struct DocumentFault;
struct Options;
struct OptionsFailure;
struct Organisation;
struct Route;
struct SettingsChange;
struct SettingsPeers;
struct SettingsSnapshot;
struct SettingsState;
struct SettingsWrite;
struct Team;
struct Tuning;
struct Upstream;
struct WriteCheck;
struct Zone;

}  // namespace snipeturn
