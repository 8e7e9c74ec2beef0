"""Stand-ins for the cases 11 to 15: endpoints, discovery, a registry member, a client, and the relay process.

Python's standard library only. All sockets are on 127.0.0.1.
"""
import atexit
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..'))
MAX_RUN_S = 115  # of a whole script
_taken_ports = set()


def now():
    return time.monotonic()


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to the script's record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.lock = threading.Lock()
        self.file = open(path, 'w')

    def __call__(self, *words):
        with self.lock:
            if not self.file.closed:
                self.file.write('%8.3f %s\n' % (now() - self.start, ' '.join(str(w) for w in words)))
                self.file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


def deploy_command(name):
    with open(os.path.join(ROOT, 'deploy', 'balancer.toml')) as file:
        for line in file:
            key, _, value = line.partition('=')
            if key.strip() == name:
                return json.loads(value.strip())
    raise KeyError(name)


class Play:
    """Owns the temporary folder and all processes of a script, and ends them with it."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix='review-3-')
        self.processes = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record('trouble', int(self.trouble))
        atexit.register(self.close)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(number, lambda *_: self.could_not_run('ended from outside or out of time'))
        signal.alarm(MAX_RUN_S)
        sys.excepthook = lambda kind, error, _: self.could_not_run('%s: %s' % (kind.__name__, error))

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def could_not_run(self, why):
        self.record.say('could not run:', why)
        self.close()
        os._exit(2)

    def result(self, broken, text):
        self.record.say('BROKEN:' if broken else 'held:', text)
        self.close()
        os._exit(1 if broken else 0)


class Relay:
    """The relay's processes, started by `run` of the deploy file."""

    def __init__(self, play, config, name='relay'):
        self.play = play
        self.name = name
        self.config = config
        self.state = os.path.join(play.folder, name + '-state')
        self.config_path = os.path.join(play.folder, name + '.json')
        self.log_path = os.path.join(play.folder, name + '.log')
        os.mkdir(self.state)
        self.port = free_port()
        config['listen'] = '127.0.0.1:%d' % self.port
        self.write_config()
        self.process = None

    def write_config(self):
        with open(self.config_path + '.new', 'w') as file:
            json.dump(self.config, file)
        os.rename(self.config_path + '.new', self.config_path)

    def start(self, control=None):
        """Starts a process and returns it; it becomes the present one."""
        self.config['seed'] = '%016x' % int.from_bytes(os.urandom(8), 'big')
        self.write_config()
        private = tempfile.mkdtemp(prefix='tmp-', dir=self.play.folder)
        environment = dict(os.environ, PROXY_NAME=self.config['name'], PROXY_LISTEN=self.config['listen'],
                           PROXY_DISCOVERY=self.config['discovery'], PROXY_STATE=self.state,
                           PROXY_CONFIG=self.config_path, TMPDIR=private)
        environment.pop('PROXY_CONTROL', None)
        if control:
            environment['PROXY_CONTROL'] = control
        log = open(self.log_path, 'ab')
        self.process = subprocess.Popen(['/bin/sh', '-c', deploy_command('run')], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.play.processes.append(self.process)
        self.play.record(self.name, 'process', self.process.pid, 'started')
        return self.process

    def wait_ready(self, limit_s=10):
        until = now() + limit_s
        while now() < until:
            if self.process.poll() is not None:
                self.play.could_not_run('the relay ended at its start: %s' % self.log_tail())
            try:
                with socket.create_connection(('127.0.0.1', self.port), 0.3) as probe:
                    probe.sendall(b'*1\r\n$4\r\nPING\r\n')
                    if probe.recv(64).startswith(b'+PONG'):
                        self.play.record(self.name, 'ready')
                        return
            except OSError:
                pass
            time.sleep(0.02)
        self.play.could_not_run('the relay was not ready in %s s: %s' % (limit_s, self.log_tail()))

    def signal(self, number, process=None):
        process = process or self.process
        self.play.record(self.name, 'process', process.pid, 'gets', signal.Signals(number).name)
        process.send_signal(number)

    def kill_and_restart(self):
        """SIGKILL, and a start 0.6 s later."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        time.sleep(0.6)
        self.start()
        self.wait_ready()

    def log_tail(self, lines=5):
        try:
            with open(self.log_path, errors='replace') as file:
                return ' | '.join(line.strip() for line in file.readlines()[-lines:])
        except OSError:
            return ''


class Server:
    """A TCP server with a thread for each connection."""

    def __init__(self, play, name):
        self.play = play
        self.record = play.record
        self.name = name
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        _taken_ports.add(self.port)
        self.address = '127.0.0.1:%d' % self.port
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            self.serve(connection, connection.makefile('rb'))
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def read_request(stream):
    """Returns (first line, headers, body, time of the last byte), or None at the end of the stream."""
    first = stream.readline().decode().strip()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline().decode()
        if not line:
            return None
        if line in ('\r\n', '\n'):
            break
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = stream.read(length) if length else b''
    if len(body) < length:
        return None
    return first, headers, body, now()


def parse_bundle(body):
    """Returns the (id, key, bytes) of each message of a bundle."""
    messages = []
    while body:
        line, _, body = body.partition(b'\r\n')
        identity, key, length = line.decode().split(' ')
        messages.append((identity, key, body[:int(length)]))
        body = body[int(length) + 2:]
    return messages


REASONS = {200: 'OK', 204: 'No Content', 429: 'Too Many Requests', 500: 'Error', 503: 'Unavailable'}


def response(status, headers=(), body=b''):
    lines = ['HTTP/1.1 %d %s' % (status, REASONS.get(status, 'Status')), 'Content-Length: %d' % len(body)]
    lines += list(headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Endpoint(Server):
    """An endpoint. `answer` gets the call and returns (delay in s, status, header lines), or None to say nothing."""

    def __init__(self, play, name, answer=None):
        self.calls = []  # dictionaries: at, id, key, status
        self.answer = answer or (lambda call: (0.02, 200, ()))
        super().__init__(play, name)

    def serve(self, connection, stream):
        while True:
            request = read_request(stream)
            if request is None:
                return
            first, headers, body, at = request
            if first.startswith('POST /events/bundle '):
                messages = parse_bundle(body)
            else:
                messages = [(headers.get('x-call-id', ''), headers.get('idempotency-key', '-'), body)]
            call = {'at': at, 'ids': [m[0] for m in messages], 'keys': [m[1] for m in messages],
                    'bodies': [m[2] for m in messages], 'first': first, 'headers': headers}
            self.calls.append(call)
            verdict = self.answer(call)
            call['verdict'] = verdict
            self.record(self.name, 'call', ','.join(call['ids']), '->', verdict if verdict else 'no answer')
            if verdict is None:
                stream.read(1)  # until the relay closes
                return
            delay, status, header_lines = verdict
            if delay:
                time.sleep(delay)
            text = b''
            if status == 200 and 'bundle' in first:
                text = ''.join('%s done\r\n' % i for i in call['ids']).encode()
            connection.sendall(response(status, header_lines, text))
            call['answered'] = now()


def member(identity, endpoint, cell, phase='active', size=20.0, locality='a', flavor='std'):
    return {'id': identity, 'host_port': endpoint.address, 'locality': locality, 'flavor': flavor, 'cell': cell,
            'phase': phase, 'size': size, 'up_since_ms': 0}


class ListServer(Server):
    """The list as discovery serves it, or, with an identity, as a member of the registry does; and notices."""

    AHEAD_S = 5  # docs/registry.md: a watch that knows more than its member is told nothing for so long

    def __init__(self, play, name, revision, members, identity=None):
        self.identity = identity
        self.lock = threading.Condition()
        self.revision = revision
        self.history = [(revision, m) for m in members]  # (revision, entry)
        self.entries = dict((m['id'], m) for m in members)
        self.notices = {}  # id: (time, state)
        self.is_down = False
        super().__init__(play, name)

    def change(self, entry):
        """Applies one changed entry; watches are told at once. Returns the time."""
        with self.lock:
            self.revision += 1
            self.history.append((self.revision, entry))
            if entry['phase'] == 'left':
                self.entries.pop(entry['id'], None)
            else:
                self.entries[entry['id']] = entry
            self.lock.notify_all()
        self.record(self.name, 'revision', self.revision, entry['id'], entry['phase'])
        return now()

    def set_down(self, is_down):
        """While down, watches are ended and calls for the list fail; notices are taken all the same."""
        with self.lock:
            self.is_down = is_down
            self.lock.notify_all()
        self.record(self.name, 'down' if is_down else 'up')

    def line(self, complete, members):
        out = {'revision': self.revision, 'complete': complete, 'members': members}
        if self.identity:
            out['identity'] = self.identity
        return json.dumps(out) + '\n'

    def changes_after(self, revision):
        latest = {}
        for at, entry in self.history:
            if at > revision:
                latest[entry['id']] = entry
        return list(latest.values())

    def serve(self, connection, stream):
        while True:
            request = read_request(stream)
            if request is None:
                return
            first, _, body, _ = request
            method, target = first.split(' ')[:2]
            if method == 'POST' and target == '/v2/finals':
                for text in body.decode().splitlines():
                    notice = json.loads(text)
                    self.record(self.name, 'notice', text)
                    self.notices.setdefault(notice['id'], (now(), notice['state']))
                connection.sendall(response(204))
            elif self.is_down:
                connection.sendall(response(503))
                return
            elif target.startswith('/api/targets') and 'stream=1' in target:
                return self.watch(connection, target)
            elif target.startswith('/api/targets'):
                with self.lock:
                    text = self.line(True, list(self.entries.values()))
                connection.sendall(response(200, (), text.encode()))
            else:
                connection.sendall(response(404))

    def watch(self, connection, target):
        query = dict(part.partition('=')[::2] for part in target.partition('?')[2].split('&'))
        known = int(query.get('index', -1))
        whole = known < 0 or (self.identity and query.get('identity', self.identity) != self.identity)
        self.record(self.name, 'watch', target)
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n')

        def send(text):
            data = text.encode()
            connection.sendall(b'%x\r\n' % len(data) + data + b'\r\n')

        ahead_until = now() + self.AHEAD_S
        begun = False
        while not self.is_down:
            text = '\n'
            with self.lock:
                ahead = not whole and known > self.revision
                if ahead and now() >= ahead_until:
                    whole = True
                    ahead = False
                if not ahead and (whole or known < self.revision or not begun):
                    text = (self.line(True, list(self.entries.values())) if whole
                            else self.line(False, self.changes_after(known)))
                    known, whole, begun = self.revision, False, True
                    self.record(self.name, 'tells', text.strip())
            send(text)
            with self.lock:
                wait_until = now() + 2
                while now() < wait_until and (known >= self.revision) and not self.is_down:
                    if not begun and now() >= ahead_until:
                        break
                    self.lock.wait(0.1)


class Client:
    """One connection of a client, with one request at a time."""

    def __init__(self, play, port, timeout=0.4):
        self.record = play.record
        self.port = port
        self.timeout = timeout
        self.connection = None

    def close(self):
        if self.connection:
            self.connection.close()
            self.connection = None

    def put(self, identity, fields, body=b'event', key='0'):
        """Returns the relay's answer; None after 400 ms or a broken connection."""
        words = [b'MSG.PUT', key.encode(), identity.encode(), fields.encode(), body]
        data = b'*%d\r\n' % len(words) + b''.join(b'$%d\r\n%s\r\n' % (len(w), w) for w in words)
        for attempt in range(2):
            try:
                fresh = self.connection is None
                if fresh:
                    self.connection = socket.create_connection(('127.0.0.1', self.port), self.timeout)
                    self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connection.settimeout(self.timeout)
                self.connection.sendall(data)
                answer = b''
                while not answer.endswith(b'\r\n'):
                    part = self.connection.recv(256)
                    if not part:
                        raise ConnectionError
                    answer += part
                text = answer.decode().strip()
                self.record('client put', identity, fields, '->', text)
                return text
            except socket.timeout:
                self.close()
                break
            except OSError:
                self.close()
                if fresh or attempt:
                    break
        self.record('client put', identity, fields, '-> no answer')
        return None


_counter = [int.from_bytes(os.urandom(6), 'big') << 12]


def new_id():
    _counter[0] += 1
    return '%016x' % (_counter[0] & (2 ** 64 - 1))


def call_class(name, semantics, **more):
    out = {'name': name, 'semantics': semantics, 'target_s': 3.0, 'give_up_s': 24.0, 'worth': 1.0,
           'late_worth': 0.3, 'stream': False}
    if semantics == 'keyed':
        out.update(key_scope='all', key_ttl_s=15.0)
    out.update(more)
    return out


def relay_config(discovery, known, classes=None, **settings):
    """A configuration of a small deployment, in the form of the deployment page."""
    base = {
        'azs': ['a'], 'kinds': ['std'], 'me': 0, 'siblings': 2, 'tier': 0, 'zone': 0, 'stages': ['all-receivers'],
        'categories': classes or [call_class('call-event', 'keyed')],
        'family_info': {'calls_out': 27, 'kind_apart': [False], 'kind_batch': [1], 'late': 'halves',
                        'refused_price': 0.05, 'zone_fee': [0.0]},
        'bounds': {'open_cap': 344, 'max_attempts': 8, 'streams_per_conn': 8, 'may_probe': False, 'peers': False,
                   'cancel': True, 'may_duplicate': False, 'conn_idle_s': 10.0, 'connect_timeout_s': 1.5,
                   'retry_after': True, 'max_retry_after_s': 3.0, 'cpu_us_per_s': 637500,
                   'cpu_us_per_request': 0.0},
        'obligations': {'answer_slack_s': 0.02, 'ask_every_s': 10.0, 'cold_s': 12.0, 'fall_multiple': 1.5,
                        'fall_s': 2.0, 'start_capacity': 0.29, 'stop_sending_within_s': 1.0},
        'discovery': 'ask', 'over_share_worth': 0.05, 'resolution_s': 0.005, 'weights': 'rough',
        'realms': [{'name': 'acme', 'quota_per_s': 60.0, 'share': 1.0}],
        'telemetry': {'fields': ['x0', 'x1'], 'how': 'piggyback'},
        'value_by': 'request', 'workload': 'deliver'}
    base.update(settings)
    return {'name': 'n1', 'listen': '', 'discovery': discovery, 'seed': '8c1f30d27a5be964',
            'limits': {'cores': 1.0, 'memory_mb': 192, 'sockets': 1024, 'disk_mb': 3}, 'known': known,
            'settings': base}


def list_of(revision, members):
    return {'revision': revision, 'complete': True, 'members': members}


def send_for(client, seconds, per_s, fields, sent, ttl_ms=8000):
    """Hands in messages at a steady pace; `sent` gets id: (time, answer)."""
    until = now() + seconds
    while now() < until:
        identity = new_id()
        key = identity[::-1]
        at = now()
        sent[identity] = (at, client.put(identity, fields.format(k=key, d=ttl_ms)))
        time.sleep(max(0, at + 1.0 / per_s - now()))
