"""The operator raises the limit on request heads; kept channels go on refusing what it allows by now."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
from cw import *

ZONES = {"pasila-halli": "uusimaa", "hervanta-halli": "pirkanmaa", "linnanmaa-halli": "pohjois-pohjanmaa"}
CLIENTS = 36
OLD_LIMIT, NEW_LIMIT = 16384, 32768
HEAD_BYTES = 24000
CONFIG_APPLY_S = 3.0
# Clients take up channels that have rested for up to four fifths of idleTimeoutMs (15 s).
REST_S = 8.0


async def play(case):
    limits = lambda version, bytes: configuration(
        version, [route("/once/", "unsafe", "portal", timeout_ms=2500)], maxHeaderBytes=bytes)
    await case.start_store(limits(1, OLD_LIMIT if TROUBLE else NEW_LIMIT))
    for zone in ZONES:
        await case.add_worker(Worker(case.record, "portal", zone))
    boxes = await case.add_boxes(list(ZONES), ZONES)
    await asyncio.sleep(6.0)  # contactMs, after which all machines are in touch
    tally = {}

    async def send(channel, name, extra):
        reader, writer = channel
        attempt = attempt_id()
        headers = [("Host", HOST), ("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Deadline-Ms", "2500"), ("X-Station-Notes", "n" * extra)]
        data = request_bytes("POST", "/once/2f", headers, b"f" * 600)
        case.record.write(f"client sends {attempt} ({len(data) - 600} bytes of head, {name})")
        try:
            writer.write(data)
            await writer.drain()
            answer = await asyncio.wait_for(read_answer(reader), 2.5)
            result = answer.status
        except (CutError, ConnectionError, asyncio.TimeoutError) as error:
            result = repr(error)
        case.record.write(f"client gets {result} for {attempt}")
        tally[(name, result)] = tally.get((name, result), 0) + 1

    channels = [await asyncio.open_connection(*boxes[n % 3].front, limit=1 << 20) for n in range(CLIENTS)]
    await asyncio.gather(*[send(channel, "first request", 40) for channel in channels])
    await asyncio.sleep(0.5)
    if TROUBLE:
        await case.store.put("op/config", limits(2, NEW_LIMIT))
        case.record.write(f"the store acknowledges version 2: maxHeaderBytes {OLD_LIMIT} -> {NEW_LIMIT}")
    acknowledged = time.monotonic()
    await asyncio.sleep(REST_S - 0.5)
    late = time.monotonic() - acknowledged
    if late < CONFIG_APPLY_S + 1:
        raise NotRun("the requests would come too early")
    await asyncio.gather(*[send(channel, f"kept channel, {late:.1f} s after the ack", HEAD_BYTES) for channel in channels])
    fresh = [await asyncio.open_connection(*boxes[n % 3].front, limit=1 << 20) for n in range(3)]
    await asyncio.gather(*[send(channel, "new channel", HEAD_BYTES) for channel in fresh])
    for (name, result), count in tally.items():
        case.record.write(f"{count} x {name}: {result}")
    total = sum(tally.values())
    denied = sum(count for (_, result), count in tally.items()
                 if isinstance(result, int) and 300 <= result < 500 and result not in (408, 421, 429))
    allowed = 5 + total / 500
    text = f"{denied} of {total} proper requests ended with a 4xx of the gateway's own ({allowed:.1f} allowed)"
    case.record.write(text)
    return text if denied > allowed else None


main(play, FOLDER)
