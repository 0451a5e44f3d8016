"""A small deployment on loopback: platform, engines, operator and clients.

Everything here is a stand-in that does what the pages say. The system's own
processes are started with the command lines of the deploy file.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"front": 8149, "ready": 8141, "control": 8144}
INTERNAL = 7380
HOST = "ficu95.example"


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def settings_text(name, role, kind, ip, zone, seeds, bootstrap, data, memory,
                  contracts=()):
    """Returns a settings file of the form in DEPLOY.md."""
    listen = {"front": ["front", "ready"], "storage": ["control"]}[kind]
    serves = {"front": ["front"], "storage": ["storage", "control"]}[kind]
    contracts = list(contracts) or [
        "base", "drain", "config", "cost", "recover", "agent", "stream",
        "engine"]
    lines = [
        f'nodeName = "{name}"', f'role = "{role}"', f'machineClass = "{kind}"',
        f"serves = {json.dumps(serves)}", f'ip = "{ip}"', f'zone = "{zone}"',
        'region = "zemgale"', f"internalPortRange = [{INTERNAL},{INTERNAL + 15}]",
        f"seeds = {json.dumps(seeds)}",
        f"bootstrap = {'true' if bootstrap else 'false'}",
        f"toleranceCounted = {'true' if kind == 'storage' else 'false'}",
        f'dataDirectory = "{data}"', 'discovery = "registry"',
        'entry = "virtual_ip"', "heartbeatIntervalMs = 1200",
        f"contracts = {json.dumps(contracts)}", 'configMode = "highest"',
        "[zones]", 'jelgava-a = "zemgale"', 'jelgava-b = "zemgale"',
        'bauska = "zemgale"', "[listen]",
    ]
    lines += [f'{key} = "{ip}:{PORTS[key]}"' for key in listen]
    lines += [
        "[limits]", "cpuShare = 0.968", "cores = 2", f"memoryMb = {memory}",
        "fileDescriptors = 4100", "linkMbps = 1000.0", "diskMb = 300",
        "[faultTolerance]", "machines = 1", "zones = 0", "regions = 0",
        "[bounds]", "seedLagS = 3", "addressReuseS = 2",
        "connectivityWindowMs = 3000", "ackTimeoutMs = 4000", "catchUpS = 4.2",
        "drainMs = 2000", "graceS = 8", "lossSlackMs = 200",
        "configApplyMs = 2000", "rollbackSlackMs = 250", "outerBoundMs = 5000",
        "strictRevocation = true", "revokeMs = 5000", "quotaWindowS = 5",
        "quotaOverage = 0.1", "quotaSlack = 20",
        "recoveryS = 12", "passMs = 120", "retryAfterS = 0", "finishS = 10",
        "settleMs = 1000",
    ]
    return "\n".join(lines) + "\n"


class Machine:
    """One process of the system, restarted by the platform when it ends."""

    def __init__(self, rig, name, kind, ip, zone, memory):
        self.rig, self.name, self.kind, self.ip = rig, name, kind, ip
        self.zone, self.memory = zone, memory
        self.role = {"front": "entry", "storage": "control"}[kind]
        self.data = rig.folder / "data" / name
        self.settings = rig.folder / f"{name}.toml"
        self.process = None
        self.log = open(rig.folder / f"{name}.log", "ab")
        self.kept_down = False
        self.ends = []
        self.killed_for_memory = 0
        self.peak = 0.0

    def write_settings(self, bootstrap):
        draft = self.settings.with_suffix(".draft")
        draft.write_text(settings_text(
            self.name, self.role, self.kind, self.ip, self.zone,
            self.rig.seeds, bootstrap, self.data, self.memory,
            self.rig.contracts))
        draft.replace(self.settings)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"][self.role]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MINTCLEAT_CONFIG"] = str(self.settings)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.rig.record.line(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.rig.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1000.0 * 1.024
        except (OSError, ValueError):
            pass
        return 0.0

    def watch(self):
        """Does what the platform does: memory limit, and restarts."""
        while not self.rig.ended:
            if self.process is None or self.kept_down:
                time.sleep(0.02)
                continue
            code = self.process.poll()
            if code is not None:
                self.ends.append((self.rig.record.now(), code))
                self.rig.record.line(f"end of {self.name}: code {code}")
                time.sleep(0.3)
                if not self.rig.ended and not self.kept_down:
                    self.start()
                continue
            used = self.rss_mb()
            self.peak = max(self.peak, used)
            if used > self.memory:
                self.killed_for_memory += 1
                self.rig.record.line(
                    f"{self.name} uses {used:.1f} MB of {self.memory}: killed")
                self.process.kill()
                self.process.wait()
            time.sleep(0.005)


def _end(number, frame):
    """Ends the script in order, with all processes that it started."""
    sys.exit(2)


class Rig:
    def __init__(self, folder, controls=3, entries=2, control_memory=160,
                 entry_memory=150, contracts=()):
        signal.signal(signal.SIGTERM, _end)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.ended = False
        self.contracts = contracts
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        zones = ["jelgava-a", "jelgava-b", "bauska"]
        ips = [f"{net}.{n + 1}" for n in range(controls)]
        self.seeds = [f"{ip}:{PORTS['control']}" for ip in ips[:3]]
        self.controls = [
            Machine(self, f"storage-{zones[n % 3]}-{n // 3 + 1}", "storage", ip,
                    zones[n % 3], control_memory)
            for n, ip in enumerate(ips)]
        self.entries = [
            Machine(self, f"front-{zones[n % 3]}-{n // 3 + 1}", "front",
                    f"{net}.{n + 101}", zones[n % 3], entry_memory)
            for n in range(entries)]
        self.net = net
        self.engines = []
        self.version = 0

    @property
    def machines(self):
        return self.controls + self.entries

    def start(self):
        for machine in self.machines:
            machine.write_settings(True)
            machine.start()
            threading.Thread(target=machine.watch, daemon=True).start()

    def stop(self):
        self.ended = True
        time.sleep(0.05)
        for engine in self.engines:
            engine.stop()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator and the engines' calls of control.

    def call_control(self, method, path, body=None, timeout=1.0, tries=40,
                     pause=0.1):
        """Calls any control machine until one gives a clear answer."""
        data = None if body is None else json.dumps(body).encode()
        order = list(self.controls)
        for number in range(tries):
            machine = order[number % len(order)]
            try:
                status, text = request(
                    (machine.ip, PORTS["control"]), method, path,
                    {"Content-Type": "application/json"}, data, timeout)[:2]
            except OSError:
                time.sleep(pause)
                continue
            if status < 500 and status not in (408, 429):
                return status, text, machine
            time.sleep(pause)
        return 0, b"", None

    def put(self, configuration):
        self.version += 1
        configuration = {"version": self.version, **configuration}
        status = self.call_control(
            "POST", "/v1/Configuration.Put", configuration, tries=200)[0]
        self.record.line(f"operator put version {self.version}: {status}")
        return status

    def wait_ready(self, seconds=30):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            good = 0
            for entry in self.entries:
                try:
                    good += request((entry.ip, PORTS["ready"]), "GET",
                                    "/v1/readiness", {}, None, 0.5)[0] == 200
                except OSError:
                    pass
            if good == len(self.entries):
                return True
            time.sleep(0.1)
        return False


def request(address, method, path, headers, body, timeout):
    """One HTTP request on a connection of its own: status, body, headers."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(
            (name.lower(), value) for name, value in answer.getheaders())
    except http.client.HTTPException as error:
        raise OSError(f"{type(error).__name__}: {error}") from None
    finally:
        connection.close()


class Engine:
    """A server of a service: streams of events, or plain answers."""

    def __init__(self, rig, number, service, slots=32, stream=True, events=4,
                 pause=0.02, stride=3, born=False):
        self.rig, self.service, self.stream = rig, service, stream
        self.slots, self.events, self.pause, self.stride = slots, events, pause, stride
        self.ip = f"{rig.net}.{number + 201}"
        self.id = f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000) if born else 0
        self.state = "ready"
        self.sequence = 0
        self.runs = []  # (time, request id, headers, body)
        self.running = 0
        self.lock = threading.Lock()
        self.ended = False
        self.sock = socket.create_server((self.ip, 8080), backlog=512)
        self.address = f"{self.ip}:8080"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        rig.engines.append(self)

    def stop(self):
        self.ended = True
        self.sock.close()

    def _beat(self):
        while not self.ended:
            self.beat()
            time.sleep(1.2)

    def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address,
                "zone": "jelgava-a", "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence}
        if self.born:
            body["born"] = self.born
        return self.rig.call_control(
            "POST", f"/v1/Instances.Heartbeat/{self.id}", body, tries=6)[0]

    def _accept(self):
        while not self.ended:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        file = sock.makefile("rb")
        try:
            while not self.ended:
                line = file.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split()
                headers = {}
                while (line := file.readline().strip()):
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                body = file.read(int(headers.get("content-length", 0)))
                if not self.answer(sock, method, target, headers, body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            file.close()
            sock.close()

    def send_plain(self, sock, status, reason, fields, body):
        head = f"HTTP/1.1 {status} {reason}\r\n"
        for name, value in fields:
            head += f"{name}: {value}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)

    def answer(self, sock, method, target, headers, body):
        identity = headers.get("x-request-id", "")
        echo = [("X-Request-Id", identity)] if identity else []
        if headers.get("x-expect-instance", self.id) != self.id:
            self.send_plain(sock, 421, "Misdirected Request",
                            [("X-Instance-Id", self.id), *echo], b"")
            return True
        if target == "/v1/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1,
                      "adapters": []}], "busy": False, "sequence": 0,
                      "queuedCount": 0, "activeCount": self.running, "kvUsed": 0,
                      "kvTotal": 204013, "handles": 0}
            if self.born:
                report["born"] = self.born
            self.send_plain(sock, 200, "OK", [("Content-Type", "application/json")],
                            json.dumps(report).encode())
            return True
        if target == "/health":
            self.send_plain(sock, 200, "OK", [("X-Instance-Id", self.id)], b"")
            return True
        if not identity:
            self.send_plain(sock, 400, "Bad Request", [("X-Not-Executed", "1")], b"")
            return True
        with self.lock:
            if self.running >= self.slots + 4:
                full = True
            else:
                full = False
                self.running += 1
                self.runs.append((self.rig.record.now(), identity, headers, len(body)))
        if full:
            self.send_plain(sock, 503, "Service Unavailable",
                            [("X-Not-Executed", "1"), *echo], b"")
            return True
        try:
            return self.run(sock, method, target, headers, body, identity)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, sock, method, target, headers, body, identity):
        self.rig.record.line(
            f"engine {self.id} runs {identity}: {method} {target}, "
            f"{len(body)} bytes of body")
        fields = [("X-Request-Id", identity),
                  ("X-Response-Signature", f"3e1b.{identity}.0.c9f2a4d1")]
        if not self.stream:
            time.sleep(self.pause)
            self.send_plain(sock, 200, "OK", fields, b"x" * 800)
            return True
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n"
        head += "".join(f"{a}: {b}\r\n" for a, b in fields) + "\r\n"
        sock.sendall(head.encode())
        first = int(headers.get("last-event-id") or 0)
        for number in range(first + 1, self.events + 1):
            time.sleep(self.pause)
            event = f"id: {number}\ndata: {identity}-{number}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True


def configuration(services=("huvo11a", "xano55b"), retention=60.0):
    """Routes: turns that are kept, turns that are not, safe and unsafe calls."""
    model, plain = services
    engine = {"slots": 32, "kvCapacityTokens": 204013, "kvTokenBytes": 131072,
              "linkMbps": 340000.0, "moves": True, "backups": True, "stride": 3,
              "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
              "models": [{"name": "m"}]}
    return {
        "routes": [
            {"name": "r-hh2b9wu", "host": HOST, "pathPrefix": "/pufi791/",
             "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 250,
             "priority": 0, "service": model, "attempts": 2,
             "retainContext": True, "retentionS": retention, "sticky": True,
             "resumable": False, "targetGapMs": 400},
            {"name": "r-zji9n73", "host": HOST, "pathPrefix": "/lohu930/",
             "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 250,
             "priority": 1, "service": model, "attempts": 2,
             "retainContext": False, "retentionS": retention, "sticky": True,
             "resumable": True, "targetGapMs": 400},
            {"name": "r-safe", "host": HOST, "pathPrefix": "/pule252/",
             "kind": "safe", "timeoutMs": 1200, "targetLatencyMs": 178,
             "priority": 1, "service": plain, "attempts": 2},
            {"name": "r-unsafe", "host": HOST, "pathPrefix": "/puxa403/",
             "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 611,
             "priority": 1, "service": plain, "attempts": 2},
        ],
        "services": [
            {"name": model, "healthPath": "/health", "maxConnections": 260,
             "protocol": "h1", "tls": False, "engine": engine},
            {"name": plain, "healthPath": "/health", "maxConnections": 130,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def new_id():
    return f"{random.randrange(16**16):016x}"


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, identity):
        self.identity = identity
        self.status = 0
        self.fields = {}
        self.body = b""
        self.whole = False
        self.error = ""
        self.began = time.monotonic()
        self.seconds = 0.0


def attempt(rig, entry, path, headers=None, body=b"", timeout=5.0,
            method="POST", identity="", sock=None):
    """One client attempt on a new connection."""
    identity = identity or new_id()
    found = Answer(identity)
    fields = {"Host": HOST, "X-Request-Id": identity,
              "X-Deadline-Milliseconds": str(int(timeout * 1000)),
              **(headers or {})}
    connection = http.client.HTTPConnection(entry.ip, PORTS["front"],
                                            timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=fields)
        answer = connection.getresponse()
        found.status = answer.status
        found.fields = {a.lower(): b for a, b in answer.getheaders()}
        while (part := answer.read1(65536)):
            found.body += part
        found.whole = True
    except (OSError, http.client.HTTPException) as error:
        found.error = f"{type(error).__name__} {error}"
    finally:
        connection.close()
    found.seconds = time.monotonic() - found.began
    rig.record.line(
        f"client {identity} {method} {path} at {entry.name}, {len(body)} bytes, "
        f"{ {k: v for k, v in (headers or {}).items()} }: "
        f"status {found.status}, {'whole' if found.whole else 'broken off'}, "
        f"{len(found.body)} bytes, {found.error} {found.seconds:.3f} s"
        + ("" if 200 <= found.status < 300 else f" {found.body[:150]!r}"))
    return found


def turn_headers(program, session, previous="", budget=100000, tokens="1840,12",
                 finish=5200):
    fields = {"X-Program-Id": program, "X-Session-Id": session,
              "X-Finish-Milliseconds": str(finish),
              "X-Token-Budget": str(budget), "X-Model": "m",
              "X-Token-Counts": tokens}
    if previous:
        fields["X-Previous-Turn"] = previous
    return fields
