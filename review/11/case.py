"""Case 11: the relay ends where a client does not read its answers: the connection is closed while the relay goes through its connections."""
import os
import socket
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'peers-3'))
from peers import *  # noqa: E402,F403

FIELDS = 'c=call-event,t=acme,d={d},k={k},dest=7'
ARGUMENT = 60000  # bytes; a body may hold 64 KiB
CROWD = 40        # connections of bad clients, of 256 descriptors
ROUNDS = 5

play = Play(os.path.join(HERE, 'record.txt'))
record = play.record
endpoint = Endpoint(play, 's-a')
known = [member('s-a', endpoint, 7)]
platform = ListServer(play, 'discovery', 41, known)
config = relay_config(platform.address, list_of(41, known))
config['limits'].update(memory_mb=32, sockets=256)
relay = Relay(play, config)
relay.start()
relay.wait_ready()
client = Client(play, relay.port)
sent = {}
send_for(client, 1, 20, FIELDS, sent)
PING = b'*2\r\n$4\r\nPING\r\n$%d\r\n' % ARGUMENT + b'x' * ARGUMENT + b'\r\n'


def connect():
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.connect(('127.0.0.1', relay.port))
    connection.setblocking(False)
    return connection


def write(connection, data):
    """Writes what the relay takes within 50 ms."""
    until = now() + 0.05
    while data and now() < until:
        try:
            data = data[connection.send(data):]
        except BlockingIOError:
            time.sleep(0.0005)
        except OSError:
            return


def has_ended():
    return relay.process.poll() is not None


if play.trouble:
    for number in range(ROUNDS):
        if has_ended():
            break
        record('round', number, ': %d connections send PING with %d bytes and read nothing' % (CROWD, ARGUMENT))
        first = connect()
        crowd = [connect() for _ in range(CROWD)]
        time.sleep(0.05)
        for connection in crowd:
            write(connection, PING)
        # One more sends two commands; the end of the first comes together with the beginning of the second.
        write(first, PING[:-1000])
        time.sleep(0.02)
        write(first, PING[-1000:] + PING[:1000])
        send_for(client, 3, 10, FIELDS, sent)
        for connection in [first] + crowd:
            connection.close()
        time.sleep(0.3)
else:
    send_for(client, 10, 10, FIELDS, sent)
time.sleep(0.2)
answers = [answer for _, answer in sent.values()]
if has_ended():
    status = relay.process.returncode
    play.result(True, 'the relay ended by itself with %s: %s' % (
        'signal %d' % -status if status < 0 else 'status %d' % status, relay.log_tail(1)))
play.result(False, 'the relay runs; %d of %d messages taken on' % (answers.count('+OK'), len(answers)))
