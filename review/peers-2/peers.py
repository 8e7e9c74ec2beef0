"""Stand-ins for a deployment of one relay: clients, endpoints and the platform's discovery, on loopback.

They speak PROTOCOL-turntally.md and note with a time what was sent, answered and run. The relay is the
project's own, started by the `run` command of deploy/balancer.toml. Only Python's standard library is used.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_COMMAND = re.search(r'^run = "(.*?)"', (ROOT / "deploy" / "balancer.toml").read_text(), re.M).group(1)
CLIENT_PATIENCE = 0.4  # seconds a client waits for an answer


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """The lines of record.txt, each with milliseconds from the start: as they come, and in their order at the end."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lines = []
        self.path = path
        self.out = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    @staticmethod
    def text(line):
        return f"{1000 * line[0]:10.1f} ms  {line[1]}\n"

    def note(self, text, at=None):
        self.lines.append((self.now() if at is None else at, text))
        self.out.write(self.text(self.lines[-1]))
        self.out.flush()

    def close(self):
        self.out.close()
        with open(self.path, "w") as out:
            out.writelines(self.text(line) for line in sorted(self.lines, key=lambda line: line[0]))


FIRST_PORT, PORTS = 20000, 12000  # below those that connections take
next_port = random.randrange(PORTS)


def free_port():
    """A port that nobody uses, and that this script was not given before."""
    global next_port
    for _ in range(1000):
        port = FIRST_PORT + next_port
        next_port = (next_port + 1) % PORTS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


def new_id():
    return f"{random.getrandbits(64):016x}"


def category(name, semantics="keyed", **changes):
    out = {"name": name, "semantics": semantics, "key_scope": "all", "key_ttl_s": 15.0, "target_s": 3.0,
           "give_up_s": 24.0, "late_worth": 0.3, "stream": False, "worth": 1.0}
    out.update(changes)
    return out


def settings(categories, kinds=("bulk-receiver", "small-receiver"), apart=(False, False), batch=(1, 1),
             siblings=2, calls_out=27, open_cap=344, report=False, zones=("tbilisi-dc1",), **obligations):
    """Settings with the keys of WIRE-turntally.md, section 5, and the figures of its example."""
    return {
        "azs": list(zones),
        "bounds": {"cancel": True, "conn_idle_s": 10.0, "connect_timeout_s": 1.5, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 637500, "max_attempts": 8, "max_retry_after_s": 3.0,
                   "may_duplicate": False, "may_probe": False, "open_cap": open_cap, "peers": False,
                   "retry_after": True, "streams_per_conn": 1},
        "categories": list(categories),
        "client_habits": {"marks_retry": False},
        "discovery": "ask",
        "family_info": {"calls_out": calls_out, "kind_apart": list(apart), "kind_batch": list(batch),
                        "late": "halves", "refused_price": 0.05, "zone_fee": 0.0},
        "goal": {"whole": 0.4, "worst_class": 0.0, "worst_tenant": 0.35, "worst_window": 0.25},
        "kinds": list(kinds),
        "me": 0,
        "obligations": {"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_s": 12.0, "fall_multiple": 1.5,
                        "fall_s": 2.0, "start_capacity": 0.29, "stop_sending_within_s": 1.0, **obligations},
        "over_share_worth": 0.05,
        "prices": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.06,
                   "late_fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.05},
        "realms": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
        "resolution_s": 0.005,
        "siblings": siblings,
        "stages": ["all-receivers"],
        "telemetry": {"fields": ["x0", "x1"] if report else [], "how": "piggyback" if report else "silent"},
        "tier": 0,
        "value_by": "request",
        "weights": "silent",
        "workload": "deliver",
        "zone": 0,
    }


async def read_http(reader):
    """Reads one request: (method, target, headers, body, time of its first byte), or None at the end."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body, began


class Call:
    def __init__(self, endpoint, ids, keys, began, ended, bundle):
        self.endpoint = endpoint
        self.ids = ids
        self.keys = keys
        self.began = began  # first byte, seconds from the record's start
        self.ended = ended  # last byte
        self.bundle = bundle
        self.answer = None


class Endpoint:
    """One endpoint. `serve(call)` gives (status, headers, body), or None: it says nothing."""

    def __init__(self, record, name, cell, flavor="small-receiver", zone="tbilisi-dc1", serve=None):
        self.record, self.name, self.cell, self.flavor, self.zone = record, name, cell, flavor, zone
        self.serve = serve or self.deliver
        self.delay = 0.05
        self.calls = []
        self.server = None
        self.port = free_port()
        self.writers = set()

    async def deliver(self, call):
        await asyncio.sleep(self.delay)
        return 200, {}, b"".join(b"%s done\r\n" % i.encode() for i in call.ids) if call.bundle else b""

    async def open(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port)

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, phase="active"):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone,
                "flavor": self.flavor, "cell": self.cell, "phase": phase, "size": 1.0, "up_since_ms": 0}

    @staticmethod
    def parse_bundle(body):
        ids, keys = [], []
        while body:
            line, body = body.split(b"\r\n", 1)
            message, key, length = line.decode().split(" ")
            ids.append(message)
            keys.append(key)
            body = body[int(length) + 2:]
        return ids, keys

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                _, target, headers, body, began = request
                bundle = target == "/events/bundle"
                ids, keys = self.parse_bundle(body) if bundle else (
                    [headers["x-call-id"]], [headers.get("idempotency-key", "-")])
                call = Call(self, ids, keys, began - self.record.start, self.record.now(), bundle)
                self.calls.append(call)
                self.record.note(f"call    {self.name} cell {self.cell} ids {','.join(ids)}", call.ended)
                answer = await self.serve(call)
                if answer is None:
                    call.answer = "none"
                    await reader.read(1)  # until the relay closes
                    break
                status, extra, out = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(out)}\r\n"
                head += "".join(f"{k}: {v}\r\n" for k, v in extra.items())
                writer.write(head.encode() + b"\r\n" + out)
                call.answer = status
                self.record.note(f"answer  {self.name} {status} {extra or ''} to {','.join(ids)}")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """The list of endpoints with watches on its changes, and the platform's notices."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.entries = {}   # id: (revision, entry)
        self.watches = []   # [writer, last revision told]
        self.asked = []     # the revision from which each watch was asked for
        self.notices = []   # (time, id, state)
        self.port = free_port()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port, limit=2**24)

    async def close(self):
        if self.server:
            self.server.close()
        for watch in list(self.watches):
            watch[0].transport.abort()

    def whole(self):
        members = [entry for _, entry in self.entries.values() if entry["phase"] != "left"]
        return {"revision": self.revision, "complete": True, "members": members}

    def set(self, *entries):
        """Changes these entries in one new revision and tells all watches at once."""
        self.revision += 1
        for entry in entries:
            self.entries[entry["id"]] = (self.revision, entry)
        for watch in self.watches:
            self.tell(watch)

    def tell(self, watch):
        changed = [entry for revision, entry in self.entries.values() if revision > watch[1]]
        watch[1] = self.revision
        line = {"revision": self.revision, "complete": False, "members": changed}
        self.line(watch[0], json.dumps(line) if changed else "")

    @staticmethod
    def line(writer, text):
        data = text.encode() + b"\n"
        if not writer.transport.is_closing() and not getattr(writer, "silent", False):
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def connection(self, reader, writer):
        watch = None
        try:
            while (request := await read_http(reader)) is not None:
                method, target, _, body, _ = request
                if method == "POST":
                    for line in body.decode().splitlines():
                        notice = json.loads(line)
                        self.notices.append((self.record.now(), notice["id"], notice["state"]))
                        self.record.note(f"notice  {notice['id']} {notice['state']}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "stream=1" in target:
                    index = int(target.split("index=")[1].split("&")[0])
                    self.record.note(f"watch   from revision {index}, the list is at {self.revision}")
                    self.asked.append(index)
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    watch = [writer, index]
                    self.tell(watch)
                    self.watches.append(watch)
                    while not writer.transport.is_closing():
                        await writer.drain()
                        await asyncio.sleep(2)
                        self.line(writer, "")
                else:
                    out = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(out) + out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if watch in self.watches:
                self.watches.remove(watch)
            writer.close()


class Relay:
    """The relay's processes: one `run` at a time, or two during an upgrade."""

    def __init__(self, record, config, folder):
        self.record, self.config, self.folder = record, config, Path(folder)
        (self.folder / "state").mkdir(exist_ok=True)
        self.listen = int(config["listen"].split(":")[1])
        self.processes = []

    def write_config(self):
        (self.folder / "config.json.new").write_text(json.dumps(self.config))
        os.replace(self.folder / "config.json.new", self.folder / "config.json")

    def start(self, seed=None, known=None):
        """Starts `run`. Each process has an operators' address of its own."""
        number = len(self.processes)
        control = free_port()
        self.config["seed"] = seed or new_id()
        if known is not None:
            self.config["known"] = known
        self.write_config()
        own = self.folder / f"config-{number}.json"
        own.write_text(json.dumps(self.config))
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "PROXY_NAME": self.config["name"],
               "PROXY_LISTEN": self.config["listen"], "PROXY_DISCOVERY": self.config["discovery"],
               "PROXY_STATE": str(self.folder / "state"), "PROXY_CONFIG": str(self.folder / "config.json"),
               "PROXY_CONTROL": f"127.0.0.1:{control}", "TMPDIR": str(self.folder)}
        log = open(self.folder / f"relay-{number}.log", "w")
        process = subprocess.Popen(["/bin/sh", "-c", RUN_COMMAND], cwd=ROOT, env=env, stdout=log, stderr=log)
        process.control = control
        self.processes.append(process)
        self.record.note(f"relay   process {number} started")
        return process

    def signal(self, process, number):
        self.record.note(f"relay   {signal.Signals(number).name} to process {self.processes.index(process)}")
        process.send_signal(number)

    def log(self, number):
        return (self.folder / f"relay-{number}.log").read_text(errors="replace")

    async def ready(self, process, limit=30.0):
        """Waits for the process's yes to readyz; returns when it came, seconds from the record's start."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if process.poll() is not None:
                raise CannotRun(f"a relay ended with {process.returncode}")
            try:
                status, _ = await http(process.control, "GET", "/v1/readyz")
                if status == 200:
                    self.record.note(f"relay   process {self.processes.index(process)} is ready")
                    return self.record.now()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.01)
        raise CannotRun("a relay was not ready in time")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


async def http(port, method, path, headers=None, body=b"", limit=2.0):
    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(body)}\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
            writer.write(head.encode() + b"\r\n" + body)
            answer = await reader.read(1 << 20)
            if not answer:
                raise ConnectionError("no answer")
            return int(answer.split(b" ", 2)[1]), answer
        finally:
            writer.close()
    return await asyncio.wait_for(call(), limit)


class Message:
    def __init__(self, message_class, dest, life, key, tenant):
        self.id, self.message_class, self.dest, self.life = new_id(), message_class, dest, life
        self.key, self.tenant = key, tenant
        self.sent = self.answered = None
        self.answer = None  # None: none came in time
        self.closed = False

    def bytes(self, body, order_key):
        fields = f"c={self.message_class},t={self.tenant},d={int(1000 * self.life)},dest={self.dest}"
        if self.key:
            fields += f",k={self.key}"
        words = [b"MSG.PUT", order_key.encode(), self.id.encode(), fields.encode(), body]
        return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)

    @property
    def taken(self):
        return self.answer is not None and self.answer[:1] in "+$"


class Client:
    """A client that keeps its connections and opens more when all are busy."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.idle = []
        self.messages = []

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def put(self, message_class, dest, life=8.0, keyed=True, tenant="acme", body=b"{\"event\":1}", order_key="0"):
        message = Message(message_class, dest, life, new_id() if keyed else "", tenant)
        self.messages.append(message)
        message.sent = self.record.now()
        self.record.note(f"put     {message.id} class {message_class} dest {dest} d {int(1000 * life)}")
        try:
            await asyncio.wait_for(self.hand_in(message, message.bytes(body, order_key)), CLIENT_PATIENCE)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        message.answered = self.record.now()
        self.record.note(f"reply   {message.id} {message.answer}")
        return message

    async def hand_in(self, message, command):
        for attempt in range(2):
            kept = bool(self.idle) and attempt == 0
            connection = self.idle.pop() if kept else await self.connect()
            reader, writer = connection
            try:
                writer.write(command)
                line = await reader.readline()
            except ConnectionError:
                line = b""
            except asyncio.CancelledError:
                writer.close()
                raise
            if line.endswith(b"\n"):
                message.answer = line.decode().strip()
                self.idle.append(connection)
                return
            writer.close()
            if not kept:
                message.closed = True  # with no answer
                return

    async def stream(self, seconds, rate, message_class, dests, **kwargs):
        """Hands in messages at a steady rate, each on its own; returns when all are answered."""
        tasks = []
        end = self.record.now() + seconds
        i = 0
        while self.record.now() < end:
            tasks.append(asyncio.create_task(self.put(message_class, dests[i % len(dests)], **kwargs)))
            i += 1
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    def close(self):
        for _, writer in self.idle:
            writer.close()


def config(discovery, the_settings, known, sockets=1024, disk_mb=3):
    return {"name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": new_id(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets,
                                         "disk_mb": disk_mb},
            "known": known, "settings": the_settings}


def play(case, record_path):
    """Runs `case(record, folder, cleanup)`, which returns a list of breaks, and writes the record to that path; exits
    with 0, 1 or 2."""
    record = Record(record_path)

    async def run(folder):
        cleanup = []
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, folder, cleanup), 110)
        finally:
            for item in reversed(cleanup):
                result = item()
                if asyncio.iscoroutine(result):
                    await result

    status = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(run(folder))
        for line in breaks:
            record.note(f"BROKEN  {line}")
            print(line)
        record.note(f"verdict {'broken' if breaks else 'held'}, TROUBLE={int(TROUBLE)}")
        status = 1 if breaks else 0
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # whatever it was: it says nothing of the rule
        record.note(f"verdict could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.close()
    sys.exit(status)
