#include "fuzz/actions.h"
#include "fuzz/driver.h"
#include "fuzz/harness.h"

int main(int argc, char** argv) {
  return snipeturn::RunFuzz<snipeturn::Harness>(
      argc, argv, snipeturn::Actions(), [](const snipeturn::Harness& harness) {
        RC_CLASSIFY(harness.settings_lost(), "settings expired");
        RC_CLASSIFY(harness.finished() > 10, "more than 10 answers");
      });
}
