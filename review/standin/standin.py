"""A stand-in for the platform around one controller: discovery, the relay, collectors, endpoints and proxies.

All of it runs in one process on loopback addresses and on the real clock. The messages are those of the protocol page.
Requests are drawn here and handed to modelled endpoints. Only the health checks of endpoints use sockets, because the
controller sees no request.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import defaultdict, deque

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "dahliaroad")
HOST = "127.0.0.1"
TICK = 0.02
START_LIMIT = 20       # seconds; a run with the longest case and the slowest start stays under 120 s


def free_ports(count):
    """Returns free TCP ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def unix_ms():
    return int(time.time() * 1000)


def deploy_command(key="run"):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return value.split('"')[1]
    raise RuntimeError("the deploy file has no " + key)


class Endpoint:
    """A server: serves one request after another at its present capacity."""

    def __init__(self, name, zone, kind, capacity, weight):
        self.name, self.zone, self.kind, self.weight = name, zone, kind, weight
        self.capacity = capacity            # requests per second when it is warm
        self.mode = "ok"                    # ok, hang (takes work, answers nothing) or down (refuses connections)
        self.health = "active"              # as discovery lists it
        self.born_ms = 0                    # as discovery lists it; 0: long ago
        self.started = None                 # world time of the latest start; None: long ago
        self.changed = 0                    # the list's version of the latest change
        self.port = None
        self.free_at = 0.0
        self.sent = 0
        self.busy = 0.0


class Proxy:
    """A forwarder. It forwards by the tables that it holds, and judges no endpoint but by `ejects` failures in a row."""

    def __init__(self, node, zone, rates):
        self.node, self.zone, self.rates = node, zone, rates
        self.joined = False
        self.joined_at = None
        self.standing = {}                  # endpoint: weight, the table that it starts with
        self.bindings = {}                  # class: table
        self.tables = {}                    # table: {endpoint: weight}
        self.levels = {}                    # (table, class): (gate, again)
        self.tokens = {}
        self.failures = defaultdict(int)    # endpoint: failed tries in a row
        self.avoided = {}                   # endpoint: until
        self.messages = []                  # world times at which messages were applied
        self.cold = True

    def lines(self, klass):
        """Returns the lines that the proxy may pick for a class."""
        table = self.bindings.get(klass)
        return self.standing if table is None else self.tables.get(table, {})


class World:
    def __init__(self, settings, record_path, seed=1, late=0.15):
        self.settings, self.domain = settings, settings["domain"]
        self.classes = [one["name"] for one in settings["classes"]]
        self.own_zone = dict(zip(self.classes, self.domain["class_own_zone"]))
        self.random = random.Random(seed)
        self.late = late
        self.start = time.monotonic()
        self.record_file = open(record_path, "w", buffering=1)
        self.endpoints, self.proxies = {}, {}
        self.tables = defaultdict(dict)     # as ordered
        self.levels = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.subscribers = []
        self.channel_free = 0.0
        self.channel = deque()              # (departure, lines)
        self.worst_queue = 0.0
        self.deliveries = []                # (arrival, sequence, proxy, stream, operations, nonce, ordered_at)
        self.sequence = 0
        self.streams = defaultdict(int)     # proxy: number of its stream
        self.stats = defaultdict(lambda: [0, 0, 0.0])     # (zone, endpoint): tries, errors, seconds
        self.usage = defaultdict(int)       # (node, class): requests
        self.ended = []                     # (time, zone, endpoint, proxy, failed, seconds)
        self.per_second = defaultdict(int)  # counts of the second, for the record
        self.totals = defaultdict(int)
        self.servers, self.tasks = [], []
        self.pilot = None
        self.answered_at = None
        self.violations = []
        self.on_tick = []
        self.commits = 0
        self.told = defaultdict(dict)       # endpoint: {health: world time at which discovery wrote it first}
        self.bound = {}                     # (proxy, stream, class): table, as ordered
        self.outboxes, self.util = {}, {}
        self.unable = None
        self.long_ago = float("inf")        # seconds after which discovery gives a start as 0, "long ago"

    # ---- time and record

    def now(self):
        return time.monotonic() - self.start

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (self.now(), text))

    def violation(self, key, text):
        if all(known != key for known, _ in self.violations):
            self.violations.append((key, text))
            self.record("RULE BROKEN: " + text)

    # ---- the fleet

    def add_endpoint(self, name, zone, kind, capacity, weight=1.0):
        self.endpoints[name] = Endpoint(name, zone, kind, capacity, weight)
        self.endpoints[name].changed = self.version

    def list_change(self, name, **fields):
        """Changes an endpoint's entry in discovery's list."""
        self.version += 1
        endpoint = self.endpoints[name]
        for field, value in fields.items():
            setattr(endpoint, field, value)
        endpoint.changed = self.version
        if endpoint.health == "active":
            self.told[name].clear()
        self.record("discovery: list version %d: %s" % (self.version, json.dumps(self.entry(endpoint))))
        self.changed.set()
        self.changed = asyncio.Event()

    def entry(self, endpoint):
        long_ago = endpoint.started is not None and self.now() - endpoint.started > self.long_ago
        return {"host": endpoint.name, "dial": "%s:%d" % (HOST, endpoint.port), "site": endpoint.zone,
                "class": endpoint.kind, "block": 0, "health": endpoint.health, "share": endpoint.weight,
                "born_ms": 0 if long_ago else endpoint.born_ms}

    def whole_list(self):
        hosts = [self.entry(one) for one in self.endpoints.values() if one.health != "left"]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def changes_after(self, version):
        hosts = [self.entry(one) for one in self.endpoints.values() if one.changed > version]
        return {"seq": self.version, "whole": False, "hosts": hosts}

    def listed_warm(self, endpoint):
        """Whether the list shows the endpoint as running, and its latest start is the warm-up time ago."""
        warm_up = self.settings["rules"]["warm_up_ms"] / 1000
        return endpoint.health == "active" and (endpoint.started is None or self.now() - endpoint.started >= warm_up)

    def capacity(self, endpoint):
        """Returns the present capacity: it rises evenly from the cold share over the warm-up time."""
        if endpoint.started is None:
            return endpoint.capacity
        rules = self.settings["rules"]
        progress = min((self.now() - endpoint.started) * 1000 / rules["warm_up_ms"], 1.0)
        return endpoint.capacity * (rules["start_capacity"] + (1 - rules["start_capacity"]) * progress)

    def add_proxy(self, node, zone, rates):
        proxy = Proxy(node, zone, rates)
        open_here = [one.name for one in self.endpoints.values() if one.zone == zone and one.health == "active"]
        open_all = [one.name for one in self.endpoints.values() if one.health == "active"]
        names = open_here if len(open_here) >= 3 else open_all
        proxy.standing = {name: 1.0 for name in self.random.sample(names, min(len(names), self.domain["standing"]))}
        self.proxies[node] = proxy

    def join(self, node):
        proxy = self.proxies[node]
        proxy.joined, proxy.joined_at = True, self.now()
        self.streams[node] += 1
        self.record("proxy %d of %s joins" % (node, proxy.zone))
        self.notify("hello", self.hello(proxy))

    def leave(self, node):
        self.proxies[node].joined = False
        self.streams[node] += 1
        self.record("proxy %d leaves" % node)
        self.notify("bye", {"node": node})

    def hello(self, proxy):
        return {"node": proxy.node, "locality": proxy.zone, "w": sum(proxy.rates.values()), "cold": proxy.cold}

    def notify(self, method, params):
        line = json.dumps({"jsonrpc": "2.0", "method": method, "params": params}) + "\n"
        for writer in list(self.subscribers):
            writer.write(line.encode())

    # ---- discovery

    async def serve_discovery(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                query = dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if "=" in part)
                if "after" in query:
                    after = int(query["after"])
                    until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                    while self.version <= after and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                        except asyncio.TimeoutError:
                            break
                    answer = self.changes_after(after)
                else:
                    answer = self.whole_list()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                for host in answer["hosts"]:
                    self.told[host["host"]].setdefault(host["health"], self.now())
                    if not answer["whole"]:
                        self.record("discovery: told the controller: " + json.dumps(host))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    # ---- the relay

    async def serve_relay(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                call = json.loads(line)
                if call.get("method") == "subscribe":
                    writer.write(json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": True}).encode() + b"\n")
                    for proxy in self.proxies.values():
                        if proxy.joined:
                            hello = {"jsonrpc": "2.0", "method": "hello", "params": self.hello(proxy)}
                            writer.write(json.dumps(hello).encode() + b"\n")
                    self.subscribers.append(writer)
                    self.record("relay: subscription")
                    continue
                if call.get("method") != "commit" or "ops" not in call.get("params", {}):
                    error = {"code": -32600, "message": "SYNTAX"}
                    writer.write(json.dumps({"jsonrpc": "2.0", "id": call.get("id"), "error": error}).encode() + b"\n")
                    continue
                count = self.commit(call["params"]["ops"])
                await asyncio.sleep(0.002)
                answer = {"jsonrpc": "2.0", "id": call["id"], "result": {"ok_count": count}}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            if writer in self.subscribers:
                self.subscribers.remove(writer)
            writer.close()

    def commit(self, orders):
        """Carries out a call: each proxy that it concerns gets one message through the channel."""
        messages = defaultdict(list)
        nonce, count = None, 0
        for order in orders:
            if not self.apply(order, messages):
                break
            count += 1
            if order["verb"] == "mark":
                nonce = order["stamp"]
        if orders:
            self.commits += 1
            shown = [one for one in orders if one["verb"] != "mark"]
            self.record("relay: call with %d orders, %d taken, for proxies %s: %s" %
                        (len(orders), count, sorted(messages), json.dumps(shown)[:1500]))
        now = self.now()
        for node, operations in sorted(messages.items()):
            lines = self.domain["per_message"] + (nonce is not None)
            lines += sum(1 + len(one[2]) + len(one[3]) if one[0] == "bind" else 1 for one in operations)
            self.channel_free = max(self.channel_free, now) + lines / self.domain["lines_per_s"]
            self.channel.append((self.channel_free, lines))
            arrival = self.channel_free + self.late
            self.sequence += 1
            self.deliveries.append((arrival, self.sequence, node, self.streams[node], operations, nonce, now))
        waiting = sum(lines for departure, lines in self.channel if departure > now)
        self.worst_queue = max(self.worst_queue, waiting)
        return count

    def apply(self, order, messages):
        verb = order["verb"]
        classes = order.get("for") or self.classes
        if verb == "bind":
            proxy = self.proxies.get(order["node"])
            if proxy is None or not proxy.joined:
                return False
            table = order["cluster"]
            levels = {klass: level for (of, klass), level in self.levels.items() if of == table}
            messages[order["node"]].append(("bind", table, dict(self.tables[table]), levels, classes))
            for klass in classes:
                self.bound[(order["node"], self.streams[order["node"]], klass)] = table
            return True
        if verb == "share":
            if order["endpoint"] not in self.endpoints or order["w"] < 0:
                return False
            if order["w"] == 0:
                self.tables[order["cluster"]].pop(order["endpoint"], None)
            else:
                self.tables[order["cluster"]][order["endpoint"]] = order["w"]
            operation = ("share", order["cluster"], order["endpoint"], order["w"])
        elif verb == "admit":
            for klass in classes:
                self.levels[(order["cluster"], klass)] = (order["gate"], order["again"])
            operation = ("admit", order["cluster"], classes, (order["gate"], order["again"]))
        elif verb == "clear":
            self.tables[order["cluster"]].clear()
            operation = ("clear", order["cluster"], (), ())
        elif verb == "mark":
            return True
        else:
            return False
        for node, stream, klass in self.bound:
            table = self.bound[(node, stream, klass)]
            if table == order["cluster"] and stream == self.streams[node] and operation not in messages[node]:
                messages[node].append(operation)
        for node in [node for node, operations in messages.items() if not operations]:
            del messages[node]
        return True

    def deliver(self):
        now = self.now()
        while self.channel and self.channel[0][0] <= now:
            self.channel.popleft()
        due = sorted(one for one in self.deliveries if one[0] <= now)
        if not due:
            return
        self.deliveries = [one for one in self.deliveries if one[0] > now]
        for _, _, node, stream, operations, nonce, ordered_at in due:
            proxy = self.proxies[node]
            if not proxy.joined or stream != self.streams[node]:
                continue
            proxy.cold = False
            proxy.messages.append(now)
            for operation in operations:
                if operation[0] == "bind":
                    _, table, lines, levels, classes = operation
                    proxy.tables[table] = dict(lines)
                    for klass in classes:
                        proxy.bindings[klass] = table
                    for klass, level in levels.items():
                        proxy.levels[(table, klass)] = level
                elif operation[0] == "share":
                    _, table, endpoint, weight = operation
                    lines = proxy.tables.setdefault(table, {})
                    if weight == 0:
                        lines.pop(endpoint, None)
                    else:
                        lines[endpoint] = weight
                elif operation[0] == "clear":
                    proxy.tables[operation[1]] = {}
                else:
                    for klass in operation[2]:
                        proxy.levels[(operation[1], klass)] = operation[3]
            if nonce is not None:
                self.notify("ack", {"node": node, "nonce": nonce, "latency": (now - ordered_at) * 1000})

    async def ping(self):
        while True:
            await asyncio.sleep(1.0)
            line = b'{"jsonrpc":"2.0","method":"ping"}\n'
            for writer in list(self.subscribers):
                writer.write(line)

    # ---- endpoints

    def endpoint_server(self, endpoint):
        async def serve(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    if endpoint.mode == "down":
                        writer.transport.abort()
                        return
                    self.record("health check of %s (%s)" % (endpoint.name, endpoint.mode))
                    if endpoint.mode == "hang":
                        await reader.read()
                        return
                    assert b"/health/live" in head or b"/stats" in head
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
            except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
                pass
            finally:
                writer.close()
        return serve

    # ---- requests

    def admitted(self, proxy, klass):
        gate, _ = proxy.levels.get((proxy.bindings.get(klass), klass), (None, 1))
        if gate is None:
            return True
        if self.domain["admit"] == "ratio":
            return self.random.random() < gate
        now = self.now()
        tokens, at = proxy.tokens.get(klass, (1.0, now))
        tokens = min(tokens + (now - at) * gate, max(1.0, gate))
        allowed = tokens >= 1.0
        proxy.tokens[klass] = (tokens - allowed, now)
        return allowed

    def request(self, proxy, klass):
        self.usage[(proxy.node, klass)] += 1
        self.count(klass, "asked")
        lines = proxy.lines(klass)
        if self.own_zone[klass]:
            lines = {name: weight for name, weight in lines.items() if self.endpoints[name].zone == proxy.zone}
        if not lines:
            return self.count(klass, "refused: no line")
        if not self.admitted(proxy, klass):
            return self.count(klass, "refused: level")
        tried = set()
        for _ in range(2):
            now = self.now()
            names = [name for name in lines if name not in tried]
            kept = [name for name in names if proxy.avoided.get(name, 0) <= now] or names
            if not kept:
                break
            name = self.random.choices(kept, [lines[one] for one in kept])[0]
            tried.add(name)
            if self.send(proxy, klass, self.endpoints[name]):
                return
        self.count(klass, "failed")

    def send(self, proxy, klass, endpoint):
        """Sends a try. Returns whether the endpoint took it; a refused connection proves that it never ran."""
        now = self.now()
        endpoint.sent += 1
        self.on_send(proxy, klass, endpoint)
        if endpoint.mode == "down":
            self.ended.append((now + 0.001, proxy.zone, endpoint.name, proxy, True, 0.001, klass, False))
            return False
        limit = self.try_limit[klass]
        if endpoint.mode == "hang":
            self.ended.append((now + limit, proxy.zone, endpoint.name, proxy, True, limit, klass, True))
            return True
        work = 1.0 / self.capacity(endpoint)
        endpoint.free_at = max(endpoint.free_at, now) + work
        endpoint.busy += work
        seconds = endpoint.free_at - now + 0.12
        failed = seconds > limit
        seconds = min(seconds, limit)
        self.ended.append((now + seconds, proxy.zone, endpoint.name, proxy, failed, seconds, klass, True))
        return True

    def on_send(self, proxy, klass, endpoint):
        pass

    def count(self, klass, what):
        self.per_second[(klass, what)] += 1
        self.totals[(klass, what)] += 1

    def finish_tries(self):
        now = self.now()
        due = [one for one in self.ended if one[0] <= now]
        if not due:
            return
        self.ended = [one for one in self.ended if one[0] > now]
        for _, zone, name, proxy, failed, seconds, klass, final in due:
            stats = self.stats[(zone, name)]
            stats[0] += 1
            stats[1] += failed
            stats[2] += 0 if failed else seconds
            if final:
                self.count(klass, "failed" if failed else "served")
            if self.domain.get("ejects"):
                proxy.failures[name] = proxy.failures[name] + 1 if failed else 0
                if proxy.failures[name] >= self.domain["ejects"]:
                    proxy.failures[name] = 0
                    proxy.avoided[name] = now + 4.0

    async def traffic(self):
        next_at = self.now()
        while True:
            next_at += TICK
            await asyncio.sleep(max(0.0, next_at - self.now()))
            self.deliver()
            self.finish_tries()
            for proxy in self.proxies.values():
                for klass, rate in proxy.rates.items():
                    mean = rate * TICK
                    if self.random.random() < mean:
                        self.request(proxy, klass)
            for check in self.on_tick:
                check()

    # ---- collectors

    async def collect(self, zone, report_late):
        """The collector of a zone: connects, names its zone, and forwards the reports of each second, late."""
        writer = None
        await asyncio.sleep(1.0)
        while True:
            await asyncio.sleep(1.0)
            frames = []
            for (of, name), (total, errors, seconds) in list(self.stats.items()):
                if of != zone:
                    continue
                del self.stats[(of, name)]
                endpoint = self.endpoints[name]
                backlog = max(0.0, endpoint.free_at - self.now())
                busy = 1.0 if backlog > 0.2 else min(1.0, self.util.get(name, 0.0))
                good = total - errors
                frame = {"type": "outcomes", "locality": zone, "endpoint": name, "total": total, "errors": errors,
                         "rtt": seconds / good * 1000 if good else 0.0, "interval": 1000.0}
                if good:
                    frame["metrics"] = {"util": busy, "queue": backlog * endpoint.capacity}
                frames.append(frame)
            for (node, klass), total in list(self.usage.items()):
                if self.proxies[node].zone != zone:
                    continue
                del self.usage[(node, klass)]
                if self.proxies[node].joined:
                    frames.append({"type": "demand", "node": node, "route": klass, "total": total, "errors": 0,
                                   "interval": 1000.0})
            outbox = self.outboxes.setdefault(zone, [])
            asyncio.get_running_loop().call_later(report_late, outbox.extend, frames)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection(HOST, self.ports["listen"])
                    writer.write(frame_of({"type": "agent", "locality": zone}))
                for frame in outbox:
                    writer.write(frame_of(frame))
                outbox.clear()
                await writer.drain()
            except OSError:
                writer = None

    async def summaries(self):
        """Writes each second's counts to the record, and takes the endpoints' utilization."""
        while True:
            await asyncio.sleep(1.0)
            for endpoint in self.endpoints.values():
                self.util[endpoint.name] = endpoint.busy
                endpoint.busy = 0.0
            text = ", ".join("%s %s %d" % (klass, what, count)
                             for (klass, what), count in sorted(self.per_second.items()))
            self.per_second.clear()
            self.record("requests: " + text)

    # ---- the controller

    async def start_servers(self):
        names = list(self.endpoints)
        ports = free_ports(3 + len(names))
        self.ports = {"listen": ports[0], "discovery": ports[1], "relay": ports[2]}
        self.servers.append(await asyncio.start_server(self.serve_discovery, HOST, ports[1]))
        self.servers.append(await asyncio.start_server(self.serve_relay, HOST, ports[2], limit=1 << 22))
        for name, port in zip(names, ports[3:]):
            self.endpoints[name].port = port
            self.servers.append(await asyncio.start_server(self.endpoint_server(self.endpoints[name]), HOST, port))

    async def start_controller(self, folder):
        config = {"name": "n0", "listen": "%s:%d" % (HOST, self.ports["listen"]),
                  "discovery": "%s:%d" % (HOST, self.ports["discovery"]), "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "store": {"address": "%s:%d" % (HOST, self.ports["relay"])},
                  "known": self.whole_list(), "settings": self.settings}
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        environment = dict(os.environ, TMPDIR=folder, ROUTER_NAME="n0", ROUTER_LISTEN=config["listen"],
                           ROUTER_DISCOVERY=config["discovery"], ROUTER_CONFIG=path)
        log = open(os.path.join(folder, "controller.log"), "w")
        self.pilot = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record("controller started: " + deploy_command())
        limit = time.monotonic() + START_LIMIT
        while time.monotonic() < limit and self.pilot.returncode is None:
            if await self.is_alive():
                self.answered_at = self.now()
                self.record("controller answers its first probe")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the controller did not answer within %d s of its start" % START_LIMIT)

    async def is_alive(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["listen"])
            writer.write(frame_of({"type": "probe"}))
            length = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), 1.0), "little")
            answer = json.loads(await asyncio.wait_for(reader.readexactly(length), 1.0))
            writer.close()
            return answer.get("type") == "alive"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def run(self, folder, scenario, seconds):
        """Plays the case. Whatever happens, and also if this process is told to end, the controller is ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await self.start_servers()
            await self.start_controller(folder)
            await self.play(scenario, seconds)
        finally:
            for task in self.tasks:
                task.cancel()
            await self.end_controller()
            for server in self.servers:
                server.close()

    async def play(self, scenario, seconds):
        self.try_limit = {one["name"]: one["deadline_ms"] / 1000 for one in self.settings["classes"]}
        loop = asyncio.get_running_loop()
        for node in self.proxies:
            self.join(node)
        jobs = [self.traffic(), self.ping(), self.summaries(), scenario(self)]
        jobs += [self.collect(zone, 0.7) for zone in self.settings["zones"]]
        self.tasks = [loop.create_task(job) for job in jobs]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
            if self.pilot.returncode is not None:
                self.violation("crash", "the controller ended with %s" % self.pilot.returncode)
                break
            for task in self.tasks:
                if task.done() and not task.cancelled() and task.exception():
                    raise task.exception()

    async def end_controller(self):
        if self.pilot is None or self.pilot.returncode is not None:
            return
        self.pilot.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.pilot.wait(), 2.0)
        except asyncio.TimeoutError:
            self.pilot.kill()
            await self.pilot.wait()


def frame_of(message):
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "little") + body


def main(folder_of_case, build, scenario, seconds):
    """Runs a case. Exit code: 1 if a rule was broken, 0 if all held, 2 if the case could not run."""
    folder = tempfile.mkdtemp(prefix="dahliaroad-review-")
    try:
        if not os.path.exists(PROGRAM):
            print("not built: " + PROGRAM)
            return 2
        world = build(os.path.join(folder_of_case, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
        asyncio.run(world.run(folder, scenario, seconds))
        for (klass, what), count in sorted(world.totals.items()):
            world.record("total: %s %s %d" % (klass, what, count))
        if hasattr(world, "latest"):
            world.record("latest request to an endpoint that is leaving, in s after the controller was told: " +
                         ", ".join("%s %.1f" % one for one in sorted(world.latest.items())))
        world.record("most lines waiting in the channel: %d of %d" % (world.worst_queue, world.domain["backlog"]))
        with open(os.path.join(folder, "controller.log"), errors="replace") as log:
            lines = [line.replace(ROOT, ".").rstrip() for line in log]
        for line in lines[:40] + (["..."] if len(lines) > 80 else []) + lines[40:][-40:]:
            world.record("controller's log: " + line[:400])
        if world.violations:
            for _, text in world.violations:
                print("RULE BROKEN: " + text)
            return 1
        if world.unable:
            print("could not run: " + world.unable)
            return 2
        world.record("all rules that this case checks held")
        print("held")
        return 0
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        print("could not run: %r" % error)
        return 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)

