"""Case 12: at its end the relay closes connections over requests that it has read and not answered."""
import os
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'peers-3'))
from peers import *  # noqa: E402,F403

LARGE = 60000       # bytes of a body; a body may hold 64 KiB
CONNECTIONS = 60    # of clients; a third of 256 descriptors is 85
PATIENCE_S = 0.4    # "The client waits 400 ms for this answer; after that it closes the connection"
SECONDS = 6         # without the restart
ROUNDS = 5          # restarts at most; the moment of the end differs

play = Play(os.path.join(HERE, 'record.txt'))
record = play.record
endpoint = Endpoint(play, 's-a', lambda call: None)  # hangs through the whole of the shutdown
known = [member('s-a', endpoint, 7, size=200.0)]
platform = ListServer(play, 'discovery', 41, known)
config = relay_config(platform.address, list_of(41, known))
config['limits'].update(memory_mb=32, sockets=256, disk_mb=32)
relay = Relay(play, config)
relay.start()
relay.wait_ready()


def put_bytes(size):
    identity = new_id()
    fields = 'c=call-event,t=acme,d=24000,k=%s,dest=7' % identity[::-1]
    words = [b'MSG.PUT', b'0', identity.encode(), fields.encode(), b'x' * size]
    return b'*5\r\n' + b''.join(b'$%d\r\n%s\r\n' % (len(w), w) for w in words), identity


def fill():
    """Hands in messages that wait, until the relay has no room for one more."""
    client = Client(play, relay.port)
    held = []
    for size in (LARGE, 3000):
        for _ in range(80):
            identity = new_id()
            fields = 'c=call-event,t=acme,d=24000,k=%s,dest=7' % identity[::-1]
            if client.put(identity, fields, b'x' * size) != '+OK':
                break
            held.append(size)
    record('the relay took', len(held), 'messages of', sum(held), 'bytes that wait')
    client.close()


class Pipeliner(threading.Thread):
    """Hands in messages on one connection, the next before the last has its answer, and none for longer than it waits.

    A larger message that is refused is followed by another 0.19 s later, and that one by a small one up to 0.06 s behind
    it if it has no answer by then.
    """

    def __init__(self, number):
        super().__init__(daemon=True)
        self.number = number
        self.small_after = 0.06 if number % 2 else 0.002 * (number % 8)
        self.open_requests = []  # (id, time of its last byte, whether it is a larger one)
        self.answered = 0
        self.ended = None
        self.slowest = 0
        self.connection = socket.create_connection(('127.0.0.1', relay.port))
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, size):
        data, identity = put_bytes(size)
        self.connection.sendall(data)
        self.open_requests.append((identity, now(), size > 2000))
        record('client', self.number, 'hands in', identity)

    def run(self):
        next_large, next_small = now() + 0.005 * self.number, None
        try:
            while self.open_requests or now() < stop_at[0]:
                if next_large and now() >= next_large and now() < stop_at[0]:
                    self.send(3000)
                    next_large, next_small = None, now() + self.small_after
                if next_small and now() >= next_small:
                    self.send(20)
                    next_small = None
                give_up_at = self.open_requests[0][1] + PATIENCE_S if self.open_requests else stop_at[0] + 0.1
                if now() >= give_up_at:
                    self.ended = 'given up by the client'
                    return self.connection.close()
                wake_at = min(at for at in (give_up_at, next_large, next_small) if at)
                self.connection.settimeout(max(0.001, wake_at - now()))
                try:
                    data = self.connection.recv(4096)
                except socket.timeout:
                    continue
                if not data:
                    self.ended = 'closed by the relay'
                    self.ended_at = now()
                    record('client', self.number, 'sees the end of its connection')
                    return
                for line in data.decode().splitlines():
                    identity, sent_at, is_large = self.open_requests.pop(0)
                    self.answered += 1
                    self.slowest = max(self.slowest, now() - sent_at)
                    record('client', self.number, identity, '->', line)
                    if is_large:
                        next_large, next_small = now() + 0.19, None
            self.ended = 'idle, all answered'
        except OSError:
            self.ended = 'reset'


stop_at = [now() + SECONDS]  # from then on the clients have nothing more to hand in
stop_at = [0]  # from then on the clients have nothing more to hand in


def one_round():
    """Returns how many answers came, and the requests that were read and not answered."""
    fill()
    stop_at[0] = now() + SECONDS
    clients = [Pipeliner(number) for number in range(CONNECTIONS)]
    for pipeliner in clients:
        pipeliner.start()
    time.sleep(1)
    relay_ended_at = float('inf')
    if play.trouble:
        relay.signal(signal.SIGTERM)
        stop_at[0] = now() + 3.36
        try:
            relay.process.wait(3.7)
            relay_ended_at = now()
            record('the relay ended with', relay.process.returncode)
        except subprocess.TimeoutExpired:
            relay.signal(signal.SIGKILL)
            relay.process.wait()
    for pipeliner in clients:
        pipeliner.join(SECONDS + 2)
    lost = []
    for pipeliner in clients:
        record('client', pipeliner.number, pipeliner.answered, 'answers, the slowest after %.3f s, then' %
               pipeliner.slowest, pipeliner.ended, 'with', len(pipeliner.open_requests), 'open')
        # Where the process's end ends a connection in order, not by a reset, it had no unread bytes: all had been read.
        if pipeliner.ended == 'closed by the relay' and relay_ended_at - 0.2 < pipeliner.ended_at:
            lost += [identity for identity, sent_at, _ in pipeliner.open_requests if sent_at < pipeliner.ended_at - 0.05]
    record('read and not answered:', ' '.join(lost))
    return sum(c.answered for c in clients), lost


rounds = 0
answers = 0
lost = []
while not lost and rounds < (ROUNDS if play.trouble else 1):
    if rounds:
        time.sleep(0.6)
        relay.start()
        relay.wait_ready()
    rounds += 1
    more, lost = one_round()
    answers += more
play.result(bool(lost), '%d restarts, %d answers; %d requests were read and their connections closed without an answer' % (
    rounds if play.trouble else 0, answers, len(lost)))
