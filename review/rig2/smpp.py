"""SMPP 3.4 stand-ins: a client (ESME) and an SMSC, and the operator's file that switches the front on."""

import asyncio
import os
import random
import struct

NAMES = {0x1: "bind_receiver", 0x2: "bind_transmitter", 0x4: "submit_sm", 0x5: "deliver_sm", 0x6: "unbind",
         0x9: "bind_transceiver", 0x15: "enquire_link"}


def pdu(command, status, sequence, body=b""):
    return struct.pack(">IIII", 16 + len(body), command, status, sequence) + body


async def read_pdu(reader):
    head = await reader.readexactly(16)
    length, command, status, sequence = struct.unpack(">IIII", head)
    return command, status, sequence, await reader.readexactly(length - 16)


def text_z(text):
    return text.encode() + b"\0"


def submit_body(kind, source, to, text, validity="", registered=1):
    text = text.encode()
    return (text_z(kind) + b"\1\1" + text_z(source) + b"\1\1" + text_z(to) + bytes([0, 0, 0]) + b"\0" + text_z(validity)
            + bytes([registered, 0, 0, 0, len(text)]) + text)


def read_submit(body):
    """(service type, source, destination, short message, parameters that follow)."""
    place = 0

    def cut():
        nonlocal place
        end = body.index(b"\0", place)
        value = body[place:end].decode("latin-1")
        place = end + 1
        return value

    kind = cut()
    place += 2
    source = cut()
    place += 2
    to = cut()
    place += 3
    cut()
    cut()
    place += 4
    size = body[place]
    text = body[place + 1: place + 1 + size].decode("latin-1")
    rest, params = body[place + 1 + size:], {}
    while len(rest) >= 4:
        tag, length = struct.unpack(">HH", rest[:4])
        params[tag] = rest[4: 4 + length]
        rest = rest[4 + length:]
    return kind, source, to, text, params


class Smsc:
    """An SMSC. `behave(smsc, submit)` gives a status, or None for no answer; it may drop the link."""

    def __init__(self, world, name, behave=None):
        self.world, self.name, self.behave = world, name, behave
        self.links = set()
        self.server = None
        self.port = 0
        self.submits = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self.server.close()
        self.drop_all()

    def drop_all(self):
        for writer in list(self.links):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.links.add(writer)
        world = self.world
        out = []
        try:
            while True:
                command, status, sequence, body = await read_pdu(reader)
                if command in (0x1, 0x2, 0x9):
                    writer.write(pdu(command | 0x80000000, 0, sequence, text_z(self.name)))
                elif command == 0x15:
                    writer.write(pdu(0x80000015, 0, sequence))
                elif command == 0x6:
                    writer.write(pdu(0x80000006, 0, sequence))
                    await writer.drain()
                    break
                elif command == 0x4:
                    kind, _, to, text, _ = read_submit(body)
                    submit = {"at": world.now(), "end": None, "status": None, "smsc": self, "text": text, "to": to,
                              "kind": kind, "writer": writer, "sequence": sequence, "n": len(world.submits)}
                    world.submits.append(submit)
                    world.by_text.setdefault(text, []).append(submit)
                    out.append(submit)
                    world.say(f"{self.name} submit {submit['n']} of {text} to {to}")
                    asyncio.ensure_future(self.answer(submit, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            for submit in out:
                if submit["end"] is None:
                    submit["end"] = world.now()
            self.links.discard(writer)
            writer.transport.abort()

    async def answer(self, submit, writer):
        status = await (self.behave(self, submit, writer) if self.behave else take(self, submit, writer))
        if status is None or submit["end"] is not None or writer.transport.is_closing():
            return
        body = text_z("m%d" % submit["n"]) if status == 0 else b""
        writer.write(pdu(0x80000004, status, submit["sequence"], body))
        submit["end"], submit["status"] = self.world.now(), status
        self.world.say(f"{self.name} submit {submit['n']} of {submit['text']} answered {status:#x}")


async def take(smsc, submit, writer):
    await asyncio.sleep(0.01)
    return 0


class Esme:
    """A client bound as transceiver; binds again when its link ends."""

    def __init__(self, world, port, name="lakeclub"):
        self.world, self.port, self.name = world, port, name
        self.writer = None
        self.sequence = 1
        self.open = {}
        self.stopped = False
        self.bound = asyncio.Event()
        self.task = None

    def start(self):
        self.task = asyncio.ensure_future(self.keep())
        return self

    def stop(self):
        self.stopped = True
        if self.writer:
            self.writer.transport.abort()

    def drop(self):
        if self.writer:
            self.writer.transport.abort()

    async def keep(self):
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(pdu(0x9, 0, 1, text_z(self.name) + text_z("change-m") + b"\0" + b"\x34\0\0\0"))
                command, status, _, _ = await asyncio.wait_for(read_pdu(reader), 3)
                if command != 0x80000009 or status != 0:
                    raise ConnectionError
                self.writer = writer
                self.bound.set()
                await self.hear(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            self.bound.clear()
            self.writer = None
            for future in self.open.values():
                if not future.done():
                    future.set_result(None)
            self.open.clear()
            await asyncio.sleep(0.1)

    async def hear(self, reader, writer):
        world = self.world
        while True:
            command, status, sequence, body = await read_pdu(reader)
            if command == 0x15:
                writer.write(pdu(0x80000015, 0, sequence))
            elif command == 0x6:
                writer.write(pdu(0x80000006, 0, sequence))
                return
            elif command == 0x5:
                params = read_submit(body)[4]
                ident = params[0x1E].rstrip(b"\0").decode()
                state = read_submit(body)[3].split("stat:")[1].split(" ")[0]
                world.receipts.setdefault(ident, []).append((world.now(), state))
                world.say(f"receipt {ident} {state}")
                writer.write(pdu(0x80000005, 0, sequence, b"\0"))
            elif command == 0x80000004:
                future = self.open.pop(sequence, None)
                if future and not future.done():
                    future.set_result((status, body.rstrip(b"\0").decode()))

    async def submit(self, kind, to, effect, validity=""):
        """One message; its record in world.texts."""
        world = self.world
        text = "t%06d" % len(world.texts)
        message = {"text": text, "kind": kind, "to": to, "effect": effect, "id": None, "status": None,
                   "sent": world.now(), "order": len(world.texts), "validity": validity}
        world.texts[text] = message
        if self.writer is None:
            return message
        self.sequence += 1
        future = asyncio.get_running_loop().create_future()
        self.open[self.sequence] = future
        try:
            self.writer.write(pdu(0x4, 0, self.sequence, submit_body(kind, "1000", to, text, validity)))
            answer = await asyncio.wait_for(future, 5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        message["heard"] = world.now()
        if answer:
            message["status"] = answer[0]
            if answer[0] == 0:
                message["id"] = answer[1]
        world.say(f"esme {text} {kind} to {to} -> {answer}")
        return message


def never(submit):
    """Whether an answer proves that a submit never ran."""
    return submit["status"] in (0x58, 0x14, 0x4)


def operator(listen, hops, classes, prefixes, response="2s", enquire="3s"):
    text = ["smpp {", f"    listen 127.0.0.1:{listen}", "    system-id huronbay", f"    response {response}",
            f"    enquire-link {enquire}", "    connect 1500ms", "    max-pdu 70000", "    max-sessions 64",
            "    limits {", "        calls-out 32", "        max-open 400", "        most-tries 8",
            "        max-come-back 3s", "    }",
            "    rules {", "        cold-share 0.2", "        warm-up 10s", "        overload-factor 2",
            "        fall 1500ms", "        key-rest 100ms", "    }"]
    text += classes
    text += ["    account lakeclub {", '        password "change-m"', f"        class {classes[0].split()[1]}",
             "        receipts always", "        window 20", "        max-binds 8", "        max-owed 500", "    }"]
    for dest, prefix in prefixes.items():
        text += [f"    destination {dest} {{", f"        prefixes {prefix}", "    }"]
    for name, (port, dest, health, binds) in hops.items():
        text += [f"    next-hop {name} {{", f"        dial 127.0.0.1:{port}", f"        dest {dest}",
                 "        system-id huron", '        password "change-m"', f"        binds {binds}",
                 "        window 10", f"        health {health}", "    }"]
    return "\n".join(text + ["}"]) + "\n"


def a_class(name, repeat, service, deadline="12s", in_order=False, memory=None):
    return [f"    class {name} {{", f"        repeat {repeat}"] + (["        in-order"] if in_order else []) + (
        [f"        memory {memory}"] if memory else []) + [
        "        aim 2s", f"        deadline {deadline}", "        worth 1", "        late-worth 0.4",
        f"        service-types {service}", "    }"]


def write(path, text):
    with open(path + ".new", "w", encoding="utf-8") as out:
        out.write(text)
    os.replace(path + ".new", path)


def prepare(world):
    world.submits, world.by_text, world.texts, world.receipts = [], {}, {}, {}


def a_number(dest):
    return {1: "1313", 2: "1586", 3: "1999"}[dest] + "%04d" % random.randint(0, 9)
