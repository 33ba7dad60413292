"""A sound worker answers before it has read a long body; the gateway's own time-out cuts the answer."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-2"))
from cw import *

ZONES = {"pasila-halli": "uusimaa", "hervanta-halli": "pirkanmaa", "linnanmaa-halli": "pohjois-pohjanmaa"}
# The largest request of the sheet's fault-log-summary.
BODY = 200000
EVENTS, EVENT_GAP_S = 20, 0.125
# Five requests in a second: the peak of the sheet's day has 2.5 of this kind at a machine, a burst 1.7 times that.
CLIENTS, CLIENT_GAP_S = 5, 0.25
LOST_ALLOWED = 3
# What one read takes, and the receive buffer of a channel: a worker with small windows.
READ_BYTES, WINDOW_BYTES = 2048, 16384


class Engine(Worker):
    """A model worker that streams its answer. With the disruption, it reads the rest of a long body
    after its answer."""

    async def start(self, ip):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.bind((ip, 0))
        self.socket.listen(128)
        self.socket.setblocking(False)
        self.address = "%s:%d" % self.socket.getsockname()
        self.accepting = asyncio.create_task(self.accept())
        self.channels = set()

    async def accept(self):
        while True:
            channel, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            task = asyncio.create_task(self.serve_channel(channel))
            self.channels.add(task)
            task.add_done_callback(self.channels.discard)

    async def serve_channel(self, channel):
        loop, attempt = asyncio.get_running_loop(), ""
        channel.setblocking(False)
        try:
            received = b""
            while True:
                while b"\r\n\r\n" not in received:
                    data = await loop.sock_recv(channel, READ_BYTES)
                    if not data:
                        return
                    received += data
                head, received = received.split(b"\r\n\r\n", 1)
                fields = [line.partition(":") for line in head.decode("latin-1").split("\r\n")[1:]]
                request = Message(head.split(b"\r\n")[0].decode(), [(n.strip().lower(), v.strip()) for n, _, v in fields], b"")
                if request.first.split(" ")[1] == "/health":
                    await loop.sock_sendall(channel, response(200, [("X-Copperweir-Instance-Id", self.id)]))
                    continue
                attempt, length = request.get("x-copperweir-attempt-id"), int(request.get("content-length") or 0)
                if request.get("x-copperweir-expect-instance") not in ("", self.id):
                    self.record.write(f"worker {self.id} refuses {attempt}: meant for another worker")
                    marks = [("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Not-Executed", "1"), ("Connection", "close")]
                    await loop.sock_sendall(channel, response(421, marks))
                    return
                early = TROUBLE and length > 65536

                async def read_rest():
                    nonlocal received
                    while len(received) < length:
                        data = await loop.sock_recv(channel, READ_BYTES)
                        if not data:
                            raise ConnectionResetError("closed within the body")
                        received += data

                if not early:
                    await read_rest()
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.record.write(f"worker {self.id} runs {attempt}, {len(received)} of {length} bytes read")
                await self.answer(channel, attempt)
                self.record.write(f"worker {self.id} has sent its whole answer to {attempt}")
                await read_rest()
                self.record.write(f"worker {self.id} has read all of {attempt}")
                received = received[length:]
        except (ConnectionError, OSError) as error:
            if attempt:
                self.record.write(f"worker {self.id}: the channel of {attempt} is broken: {error}")
        finally:
            channel.close()

    async def answer(self, channel, attempt):
        loop = asyncio.get_running_loop()
        marks = self.marks(attempt) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in marks) + "\r\n"
        await loop.sock_sendall(channel, head.encode())
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, attempt.encode())
            await loop.sock_sendall(channel, b"%x\r\n" % len(event) + event + b"\r\n")
            await asyncio.sleep(EVENT_GAP_S)
        await loop.sock_sendall(channel, b"0\r\n\r\n")


async def ask(case, channel, size):
    """Sends a request on a channel. Returns its attempt and whether its answer was complete."""
    reader, writer = channel
    attempt = attempt_id()
    headers = [("Host", HOST), ("X-Copperweir-Attempt-Id", attempt), ("X-Copperweir-Deadline-Ms", "8000"),
               ("X-Copperweir-Model", "m"), ("X-Copperweir-Token-Count", "17020,400"),
               ("X-Copperweir-Prompt-Prefix", f"5c1e07a2:13300,{attempt[:8]}:3720")]
    case.record.write(f"client sends {attempt} ({size} bytes)")
    begun = time.monotonic()
    try:
        writer.write(request_bytes("POST", "/log/2f", headers, b"q" * size))
        await writer.drain()
        answer = await asyncio.wait_for(read_answer(reader), 8.0)
        result = f"{answer.status}, {answer.body.count(b'id: ')} events"
        complete = True
    except (CutError, ConnectionError) as error:
        result, complete = repr(error), False
    case.record.write(f"client gets {result} for {attempt} after {time.monotonic() - begun:.2f} s")
    return attempt, complete


async def play(case):
    stream = route("/log/", "stream", "engine", timeout_ms=8000, attempts=1, gapAimMs=400)
    await case.start_store(configuration(1, [stream], services=("engine",)))
    for zone in ZONES:
        for _ in range(3):
            await case.add_worker(Engine(case.record, "engine", zone, slots=64))
    boxes = await case.add_boxes(list(ZONES), ZONES)
    await asyncio.sleep(6.0)  # contactMs, after which all machines are in touch
    ran = lambda attempt: any(attempt in worker.runs for worker in case.workers)

    async def round_of_requests(box, stop):
        channels = [await asyncio.open_connection(*box.front, limit=1 << 20) for _ in range(CLIENTS)]
        await asyncio.gather(*[ask(case, channel, 770) for channel in channels])
        requests = []
        for number, channel in enumerate(channels):
            requests.append(asyncio.create_task(ask(case, channel, BODY)))
            await asyncio.sleep(CLIENT_GAP_S)
            if stop and number == 0:
                box.signal(signal.SIGTERM)
        results = await asyncio.gather(*requests)
        return [attempt for attempt, complete in results if not complete and ran(attempt)]

    any_time = await round_of_requests(boxes[0], False)
    around_stop = await round_of_requests(boxes[1], True)
    text = (f"of {CLIENTS} requests on kept channels that a sound worker ran, {len(any_time)} ended with a closed channel at "
            f"a machine that nothing was done to ({LOST_ALLOWED} allowed), {len(around_stop)} around a SIGTERM (none allowed)")
    case.record.write(text)
    return text if len(any_time) > LOST_ALLOWED or around_stop else None


main(play, FOLDER)
