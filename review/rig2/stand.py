"""Stand-ins for the second review: agent, endpoints, clients, and a relay as a process.

One asyncio loop, one clock (time.monotonic). Everything listens on loopback addresses.
"""

import asyncio
import ctypes
import json
import math
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "every time limit is 50 ms longer"
SLACK = 0.05
# "300 ms after its time is up"; "up to half a second after its time it only earns nothing": the laxer one.
LATE = 0.5 + SLACK
# "no notice is overdue from a restart's SIGTERM or SIGKILL until 1.5 s after the relay is ready again"
AFTER_READY = 1.5
# Where the stand-ins stand still for longer, nothing is judged.
STALL = 0.5


class CannotRun(Exception):
    """The case could not run."""


def free_port():
    """A free port on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class World:
    """What was sent, answered and run."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []
        self.messages = {}
        self.calls = []
        self.notices = []
        self.lives = []  # [end of the one before, ready again]
        self.problems = []  # of the stand-ins themselves

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        if os.environ.get("LOUD"):
            print(line, flush=True)

    def write(self, path, verdict):
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines + [""] + verdict) + "\n")


async def read_head(reader):
    """(time of the first byte, first line, headers in lower case)."""
    first = await reader.readexactly(1)
    began = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return began, lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, body=b"", headers=()):
    reason = {200: "OK", 204: "No Content", 429: "Too Many Requests", 500: "Error", 503: "Unavailable"}.get(status, "X")
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if status != 204:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def need(held, what):
    """What has to be so before a rule can be judged."""
    if not held:
        raise CannotRun(what)


class Agent:
    """Discovery's agent: the list, the watch, and notices."""

    def __init__(self, world, name="agent"):
        self.world = world
        self.name = name
        self.hosts = {}
        self.seq = 1
        self.changed = {}
        self.news = asyncio.Condition()
        self.down = False
        self.server = None
        self.address = None
        self.writers = set()
        self.tasks = set()

    async def start(self, like=None):
        if like is not None:
            self.hosts, self.seq, self.changed = dict(like.hosts), like.seq, dict(like.changed)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def shut(self, after=1.5):
        """Accepts nothing new; closes the open ones after 1.5 s."""
        self.server.close()
        self.world.say(f"{self.name} accepts nothing new")
        await asyncio.sleep(after)
        for writer in list(self.writers):
            writer.close()
        self.world.say(f"{self.name} has closed its connections")

    async def change(self, *entries, gone=()):
        """Pushes changed entries; what the agent has counts as told."""
        async with self.news:
            self.seq += 1
            for entry in entries:
                self.hosts[entry["host"]] = entry
                self.changed[entry["host"]] = (self.seq, entry)
            for host in gone:
                entry = dict(self.hosts.pop(host), health="left")
                self.changed[host] = (self.seq, entry)
            self.news.notify_all()
        for entry in entries:
            self.world.say(f"{self.name} tells: {entry['host']} {entry['health']} (seq {self.seq})")
        for host in gone:
            self.world.say(f"{self.name} tells: {host} left (seq {self.seq})")

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                while self.down and method == "GET":
                    await asyncio.sleep(0.05)
                if method == "POST" and target.startswith("/v1/notices"):
                    for text in body.decode().split("\n"):
                        if text.strip():
                            self.noticed(json.loads(text))
                    writer.write(answer_bytes(204))
                elif "?" in target:
                    asked = dict(pair.split("=") for pair in target.split("?", 1)[1].split("&"))
                    text = await self.watch(int(asked["from"]), float(asked["hold_ms"]) / 1000)
                    writer.write(answer_bytes(200, json.dumps(text).encode()))
                else:
                    writer.write(answer_bytes(200, json.dumps(self.whole()).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except Exception as problem:  # else it would pass for a fault of the relay
            self.world.problems.append(repr(problem))
        finally:
            self.writers.discard(writer)
            writer.close()

    async def watch(self, since, hold):
        if self.seq <= since:
            try:
                async with self.news:
                    await asyncio.wait_for(self.news.wait_for(lambda: self.seq > since), hold)
            except asyncio.TimeoutError:
                return {"seq": self.seq, "whole": False, "hosts": []}
        hosts = [entry for seq, entry in self.changed.values() if seq > since]
        return {"seq": self.seq, "whole": False, "hosts": hosts}

    def noticed(self, notice):
        world = self.world
        notice = dict(notice, at=world.now())
        world.notices.append(notice)
        message = world.messages.get(notice["id"])
        world.say(f"{self.name} notice {notice['id']} {notice['state']}")
        if message is None:
            world.say(f"  notice for a message that nobody handed in: {notice['id']}")
        elif "end" not in message:
            message["end"] = world.now()
            message["end_by"] = notice["state"]


class Endpoint:
    """An endpoint of a destination. `behave(call)` answers; see `deliver`."""

    def __init__(self, world, host, block, kind="clubs", zone="here", behave=None):
        self.world, self.host, self.block, self.kind, self.zone = world, host, block, kind, zone
        self.behave = behave or deliver
        self.server = None
        self.port = 0
        self.writers = set()
        self.mute = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """As a dying process: nothing new, open connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, health="active", **more):
        entry = {"host": self.host, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": self.kind,
                 "block": self.block, "health": health, "share": 1.0, "born_ms": 0}
        return dict(entry, **more)

    async def attend(self, call, reader, writer):
        """Answers, as long as the relay waits: it gives a call up by closing or by ending its sending."""
        answer = asyncio.ensure_future(self.behave(self, call, writer))
        while not answer.done():
            await asyncio.wait([answer], timeout=0.002)
            if not answer.done() and (reader.at_eof() or reader.exception()):
                answer.cancel()
                if call["end"] is None:
                    call["end"] = self.world.now()
                    call["ends"].setdefault("all", "gone")
                    self.world.say(f"{self.host} call {call['n']} given up by the relay")
                return False
        return answer.result()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        world = self.world
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        call = None
        try:
            while True:
                first, line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if method != "POST":
                    world.say(f"{self.host} probe {target}")
                    writer.write(answer_bytes(200, b"x0=0.5,x1=50"))
                    await writer.drain()
                    continue
                ident, key = headers["x-request-id"], headers.get("idempotency-key")
                call = {"n": len(world.calls), "endpoint": self, "block": self.block, "first": first - world.began,
                        "at": world.now(), "ids": [ident], "end": None,
                        "ends": {}, "timeout": headers.get("x-timeout")}
                world.calls.append(call)
                message = world.messages.get(ident)
                if message is None:
                    world.say(f"FOREIGN {self.host} got {ident} that nobody handed in")
                else:
                    message["calls"].append(call)
                    if (body, key, self.block) != (message["body"], message["key"], message["dest"]):
                        world.say(f"FOREIGN {self.host} got {ident} changed or at the wrong place")
                world.say(f"{self.host} call {call['n']} of {' '.join(call['ids'])} timeout {call['timeout']}")
                keep = await self.attend(call, reader, writer)
                if call["end"] is None:
                    call["end"] = world.now()
                if not keep:
                    break
                call = None
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except Exception as problem:  # else it would pass for a fault of the relay
            self.world.problems.append(repr(problem))
        finally:
            if call is not None and call["end"] is None:
                call["end"] = world.now()
                call["ends"].setdefault("all", "gone")
            self.writers.discard(writer)
            writer.close()


def mark(world, call, states):
    """The ends of the messages of a call: `accepted`, `never` or `maybe`."""
    call["end"] = world.now()
    for ident, state in states.items():
        call["ends"][ident] = state
        message = world.messages.get(ident)
        if message and state == "accepted":
            message.setdefault("delivered", world.now())


async def send(writer, data):
    writer.write(data)
    await writer.drain()


async def deliver(endpoint, call, writer, after=0.02):
    """Takes everything on."""
    await asyncio.sleep(after)
    return await accept(endpoint, call, writer)


async def accept(endpoint, call, writer):
    # No answer is the copy of another one.
    await send(writer, answer_bytes(200, headers=[("X-Answer", call["n"])]))
    mark(endpoint.world, call, {ident: "accepted" for ident in call["ids"]})
    endpoint.world.say(f"{endpoint.host} call {call['n']} 200")
    return True


async def refuse(endpoint, call, writer, status=503, headers=()):
    await send(writer, answer_bytes(status, headers=[("X-Answer", call["n"]), *headers]))
    mark(endpoint.world, call, {ident: "maybe" if status == 500 else "never" for ident in call["ids"]})
    endpoint.world.say(f"{endpoint.host} call {call['n']} {status} {dict(headers)}")
    return True


class Relay:
    """The program that the deploy file's `run` starts."""

    def __init__(self, world, folder, agent, settings, known, name="n0", more=None):
        self.world, self.folder, self.agent, self.settings, self.name = world, folder, agent, settings, name
        self.known = known
        self.port = free_port()
        self.state = os.path.join(folder, f"state-{name}")
        os.makedirs(self.state, exist_ok=True)
        self.config = os.path.join(folder, f"config-{name}.json")
        self.process = None
        self.starts = 0
        self.more = more or {}
        self.log = open(os.path.join(folder, f"log-{name}.txt"), "ab")

    def write_config(self, **other):
        self.starts += 1
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.agent.address,
                  "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3},
                  "known": self.known, "settings": self.settings}
        config.update(self.more)
        config.update(other)
        with open(self.config + ".new", "w", encoding="utf-8") as out:
            json.dump(config, out)
        os.replace(self.config + ".new", self.config)

    async def start(self, write=True):
        command = "exec target/release/basaltloom serve"
        if write:
            self.write_config()
        env = dict(os.environ, LB_NAME=self.name, LB_LISTEN=f"127.0.0.1:{self.port}", LB_DISCOVERY=self.agent.address,
                   LB_STATE=self.state, LB_CONFIG=self.config)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            preexec_fn=dies_with_parent)
        self.world.say(f"relay {self.name} started, process {self.process.pid}")
        await self.ready()
        if self.world.lives and self.world.lives[-1][1] is None:
            self.world.lives[-1][1] = self.world.now()
        return self

    def check(self):
        """What the program itself says of its file."""
        done = subprocess.run([os.path.join(ROOT, "target/release/basaltloom"), "check-config", self.config],
                              capture_output=True, text=True, check=False, timeout=5)
        said = (done.stdout + done.stderr).strip().replace(self.folder, "").split("\n")[0]
        self.world.say(f"check-config of the new file: exit code {done.returncode}, {said}")

    async def ready(self, within=30):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"the relay ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    self.world.say(f"relay {self.name} is ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the relay was not ready within 30 s")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.world.say(f"relay {self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        self.world.lives.append([self.world.now(), None])
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def term(self):
        """A planned restart: SIGTERM, SIGKILL at the earliest 3.7 s later."""
        self.world.lives.append([self.world.now(), None])
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 3.8)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.world.say(f"relay {self.name} ended, code {self.process.returncode}")

    async def restart(self, how="kill"):
        await (self.kill() if how == "kill" else self.term())
        await asyncio.sleep(0.6)
        await self.start()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


class Clients:
    """Clients of one relay: a request at a time on a connection; 400 ms for the answer."""

    def __init__(self, world, relay):
        self.world, self.relay, self.idle = world, relay, []
        self.count = 0

    async def post(self, kind, dest, timeout_ms, thread=None, keyed=False, body=None, effect="pure"):
        world = self.world
        self.count += 1
        ident = "%04x%012x" % (self.count, random.getrandbits(48))
        key = "%032x" % random.getrandbits(128) if keyed else None
        body = body if body is not None else b"m" * random.randint(1, 60)
        message = {"id": ident, "class": kind, "dest": dest, "key": key, "body": body, "thread": thread, "calls": [],
                   "effect": effect, "order": len(world.messages), "status": None}
        world.messages[ident] = message
        path = f"/{kind}" + (f"?thread={thread}" if thread else "")
        head = f"POST {path} HTTP/1.1\r\nHost: relay\r\nX-Request-ID: {ident}\r\nX-Timeout: {timeout_ms}m\r\n"
        head += f"X-Consignee: dest={dest}\r\n" + (f"Idempotency-Key: {key}\r\n" if key else "")
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        message["sent"] = world.now()
        message["until"] = message["sent"] + timeout_ms / 1000
        status = None
        try:
            status = await asyncio.wait_for(self.attempt(data), 0.4)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        message["status"], message["heard"] = status, world.now()
        world.say(f"client {ident} {kind} dest={dest} {timeout_ms}m"
                  + (f" thread={thread}" if thread else "") + f" -> {status}")
        return message

    async def attempt(self, data):
        for again in (False, True):
            connection = self.idle.pop() if self.idle and not again else None
            fresh = connection is None
            if fresh:
                connection = await asyncio.open_connection("127.0.0.1", self.relay.port, limit=1 << 20)
            reader, writer = connection
            try:
                writer.write(data)
                _, line, headers = await read_head(reader)
                await read_body(reader, headers)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                if fresh:
                    raise
                continue
            except BaseException:
                writer.close()
                raise
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(connection)
            return int(line.split(" ")[1])
        return None


def service(name, repeat="pure", deadline=20.0, in_order=None, span=5.0, aim=2.0, importance=1.0):
    entry = {"aim": int(aim * 1e9), "deadline": int(deadline * 1e9), "group": "all", "importance": importance,
             "late_worth": 0.4, "memory_span": int(span * 1e9), "name": name, "repeat": repeat, "stream": False}
    if in_order is not None:
        entry["in_order"] = in_order
    return entry


def settings(services, kinds=("clubs",), per_call=None, apart=None, fleet=1, slots=17, tries=8, key_rest=True,
             discovery="push"):
    """The settings of a small deployment, in the form of the wire page."""
    rules = {"answer_slack": 20000000, "ask_within": 10000000000, "cold_share": 0.2, "fall": 1500000000,
             "overload_factor": 2.0, "stop_sending_within": 1000000000, "warm_up": 9000000000}
    if key_rest:
        rules["key_rest"] = 100000000
    return {
        "azs": ["here"], "callers": {"marks_retry": False}, "discovery": discovery,
        "domain": {"calls_out": slots, "late": "even", "notes": "", "per_call": list(per_call or [1] * len(kinds)),
                   "report_x0": "share of the allowance that is left", "report_x1": "calls a second",
                   "route_fee": [0.0], "separate_routes": list(apart or [False] * len(kinds)),
                   "turned_away_price": 0.0},
        "family": "deliver", "fleet_size": fleet,
        "goal": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.25},
        "kinds": list(kinds), "layers": ["partners"],
        "limits": {"cancel": True, "connect_timeout": 1500000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                   "keepalive": 10000000000, "max_open": 223, "max_retry_after": 3000000000, "most_tries": tries,
                   "peers": False, "probes": True, "retry_after": True, "second_copies": False,
                   "streams_per_conn": 1},
        "ordinal": 0, "over_share_worth": 0.1,
        "prices": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.02,
                   "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.011, "waste": 0.08},
        "report": {"fields": ["x0", "x1"], "how": "inline"}, "rules": rules, "services": list(services),
        "tenants": [], "tick": 5000000, "tier": 0, "weights": "off", "worth_by": "request", "zone": 0}


def at_cold(world, block, back, capacity, cold=0.2, warm_up=9.0, fall=1.5, factor=2.0):
    """The worst span of `fall` after a cold return: (part of what the destination bears, words)."""
    # "more than N + 2 x root of N + 2 (N under 30: N + 3 x root of N + 3) calls in the time that the settings name"
    calls = sorted(call["at"] for call in world.calls if call["block"] == block and call["at"] >= back)
    worst = (0.0, "no calls")
    for place, begin in enumerate(calls):
        end = begin + fall
        if end > back + warm_up:
            break
        count = sum(1 for at in calls[place:] if at < end)
        # The largest capacity that it has within this span.
        present = capacity * (cold + (1 - cold) * (end - back) / warm_up)
        n = factor * present * fall
        most = n + (2 * math.sqrt(n) + 2 if n >= 30 else 3 * math.sqrt(n) + 3)
        line = f"{count} calls within {fall} s, until {end - back:.3f} s after the return; {most:.1f} are the most that it bears"
        worst = max(worst, (count / most, line))
    world.say(f"worst: {worst[1]}")
    return worst


def lost(world, now=None):
    """Messages taken on, neither delivered nor ended by a notice when they are overdue."""
    now = world.now() if now is None else now
    gone = []
    for message in world.messages.values():
        if message["status"] not in (200, 202):
            continue
        due = message["until"] + LATE
        for down, ready in world.lives:
            if ready is None:
                due = float("inf")
            elif down <= due <= ready + AFTER_READY + SLACK:
                due = ready + AFTER_READY + SLACK
        over = min(message.get("delivered", 1e9), message.get("end", 1e9))
        if over > due and now > due:
            gone.append((message, due, over))
    return gone


def dies_with_parent(number=signal.SIGKILL):
    """The process gets a signal as its parent ends, whatever ends that."""
    try:
        ctypes.CDLL(None).prctl(1, number, 0, 0, 0)
    except (OSError, AttributeError):
        pass


def run(case, limit=105):
    """Runs `case(world, folder, relays)`, which gives the breaks as lines, and writes record.txt.

    Ends with 10 if the rule was broken, 0 if it held, and anything else if the case could not run.
    """
    record = os.path.join(os.environ.get("CASE", "."), "record.txt")
    dies_with_parent(signal.SIGTERM)
    # The last resort: the process ends, and its relays with it.
    signal.alarm(115)

    async def whole():
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, this.cancel)
        world = World()
        folder = tempfile.mkdtemp(prefix="case-")
        relays = []
        code, verdict = 2, []

        def failed(_, context):
            problem = context.get("exception")
            if problem is not None and not isinstance(problem, (OSError, EOFError, asyncio.CancelledError)):
                world.problems.append(repr(problem))

        async def watch_clock():
            while True:
                due = time.monotonic() + 0.05
                await asyncio.sleep(0.05)
                if time.monotonic() > due + STALL:
                    world.problems.append(f"the stand-ins stood still for {time.monotonic() - due:.2f} s")

        loop.set_exception_handler(failed)
        watching = asyncio.ensure_future(watch_clock())
        try:
            breaks = await asyncio.wait_for(case(world, folder, relays), limit)
            watching.cancel()
            for relay in relays:
                need(relay.process and relay.process.returncode is None, "the relay has ended by itself")
            need(not world.problems, f"a stand-in failed: {world.problems[:3]}")
            verdict = [f"BROKEN {line}" for line in breaks] or ["HELD"]
            code = 10 if breaks else 0
        except CannotRun as problem:
            verdict = [f"COULD NOT RUN {problem}"]
        except asyncio.TimeoutError:
            verdict = ["COULD NOT RUN took too long"]
        except asyncio.CancelledError:
            verdict = ["COULD NOT RUN it was told to end"]
        except Exception as problem:  # the record tells what happened
            import traceback
            verdict = [f"COULD NOT RUN {problem!r}", traceback.format_exc()]
        finally:
            for relay in relays:
                await relay.end()
                try:
                    with open(os.path.join(folder, f"log-{relay.name}.txt"), encoding="utf-8", errors="replace") as log:
                        world.lines += ["", f"log of relay {relay.name}:"] + [f"  {line.rstrip()}" for line in log][-200:]
                except OSError:
                    pass
            shutil.rmtree(folder, ignore_errors=True)
        world.write(record, verdict)
        print("\n".join(verdict[:8]))
        return code

    code = 2
    try:
        code = asyncio.run(whole())
    except BaseException as problem:  # no folder, no record
        print(f"COULD NOT RUN {problem!r}")
    sys.stdout.flush()
    os._exit(code)
