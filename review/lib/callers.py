"""Callers of streams."""

import asyncio
from dataclasses import dataclass

from deployment import ADDRESS, encode_request, read_answer_head, read_chunks

DEADLINE_MS = 39000


@dataclass
class StreamEnd:
    """How a request for a stream ended."""
    request: str
    status: int | None = None
    events: int = 0
    is_whole: bool = False

    def __str__(self):
        if self.status != 200:
            return f"{self.status or 'closed without an answer'}"
        return f"{'as whole' if self.is_whole else 'broken off'} after {self.events} events"


async def send_stream(world, daemon, prompt_tokens, output_tokens):
    """Sends a request for a stream and reads its answer to the end."""
    end, writer = StreamEnd(f"s{world.new_request()[1:]}"), None
    world.record.add(f"{end.request} sent to {daemon.name}")
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, daemon.front)
        writer.write(encode_request(end.request, "/sheet/new", DEADLINE_MS, b"p" * 2600, [
            ("Model", "m"), ("Token-Counts", f"{prompt_tokens},{output_tokens}"),
            ("Length-Hint", str(output_tokens)),
            ("Prompt-Prefix", f"{end.request}:{prompt_tokens}")]))
        end.status, _ = await asyncio.wait_for(read_answer_head(reader), DEADLINE_MS / 1000)
        if end.status == 200:
            async for data in read_chunks(reader):
                end.events += data.count(b"\n\n")
            end.is_whole = True
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    world.record.add(f"{end.request} ends: {end}")
    return end
