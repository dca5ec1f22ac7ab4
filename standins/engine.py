"""A stand-in for a model engine that batches continuously.

It answers in OpenAI's format with one word a token. A request that asks for
``max_tokens`` gets that many. Waiting requests start by ``X-Request-Priority``,
lowest first. Events carry an ``id``; ``GET /streams/REQUEST-ID`` with
``Last-Event-ID`` resumes a stream. ``POST /script`` sets
``{"pace": FACTOR, "cut_after": TOKENS, "cuts": N, "down": bool, "refuse":
bool}``; refused connections are cut before their request counts.
"""

from __future__ import annotations

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import argparse
import collections
import hashlib
import heapq
import itertools
import socket
from typing import TYPE_CHECKING, Any, Final, final

import bottle
import gevent
import orjson
from gevent.event import Event

from standins.serving import answer_json, serve
from wingfall.decision.affinity import hash_prefixes, prompt_text
from wingfall.http_server import SOCKET_KEY
from wingfall.tcp import peer_closed

if TYPE_CHECKING:
    from collections.abc import Iterator

_MS: Final = 1000
_DOWN: Final = 503
_NOT_FOUND: Final = 404
_DEFAULT_TOKENS: Final = 16
_DONE: Final = b'data: [DONE]\n\n'


@final
class Stream:
    """One generation."""

    def __init__(
        self,
        *,
        request_id: str,
        model: str,
        tokens: int,
        blocks: list[bytes],
        sock: socket.socket,
        marker: str = '',
    ) -> None:
        """Describe a generation.

        :param request_id: id of the request.
        :param model: the model.
        :param tokens: tokens that it will have.
        :param blocks: hashes of the blocks of its prompt.
        :param sock: connection of the caller.
        :param marker: what its caller calls it, over all its tries.
        """
        self.sock = sock
        self.marker = marker
        self.blocks = blocks
        self.request_id = request_id
        self.model = model
        self.tokens = tokens
        self.made = 0
        self.digest = hashlib.sha256()
        self.whole = False

    def event(self, number: int) -> bytes:
        """Make the event of a token.

        :param number: number of the token, from 0.
        :returns: the event as SSE.
        """
        chunk = {
            'id': self.request_id,
            'object': 'chat.completion.chunk',
            'model': self.model,
            'choices': [{'index': 0, 'delta': {'content': self.word(number)}}],
        }
        return b'id: %d\ndata: %s\n\n' % (number, orjson.dumps(chunk))

    def word(self, number: int) -> str:
        """Make a token.

        :param number: its number.
        :returns: a word that depends on the request.
        """
        return f'{self.request_id[-4:]}-{number} '


@final
class EngineStandIn:
    """Runs up to a number of generations at once, at a steady pace."""

    def __init__(
        self,
        *,
        capacity: int,
        token_ms: float,
        prefill_ms: float,
        crowding: float = 0,
        block_ms: float = 0,
        cache_blocks: int = 1000,
    ) -> None:
        """Start idle.

        :param capacity: generations that run at once.
        :param token_ms: time between tokens.
        :param prefill_ms: time to the first token.
        :param crowding: how much slower each further generation makes all.
        :param block_ms: time for a block of the prompt that isn't cached.
        :param cache_blocks: blocks that are cached, the least used go first.
        """
        self.blocks_made = 0
        self._block_ms = block_ms
        self._cache_blocks = cache_blocks
        self._cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._crowding = crowding
        self.script: dict[str, Any] = {}
        self.streams: dict[str, list[Stream]] = {}
        self._capacity = capacity
        self._token_ms = token_ms
        self._prefill_ms = prefill_ms
        self._running = 0
        self._waiting: list[tuple[int, int, Event]] = []
        self._numbers = itertools.count()
        self.app = self._make_app()

    def enter(self, priority: int) -> None:
        """Wait for a place in the batch.

        :param priority: lower goes first.
        """
        if self._running < self._capacity:
            self._running += 1
            return
        turn = Event()
        entry = (priority, next(self._numbers), turn)
        heapq.heappush(self._waiting, entry)
        try:
            turn.wait()
        except BaseException:
            if turn.is_set():
                self.leave()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def leave(self) -> None:
        """Give a place in the batch to the next one."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._running -= 1

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.post('/v1/chat/completions', callback=self._complete)
        app.post('/v1/completions', callback=self._complete)
        app.get('/streams/<request_id>', callback=self._resume)
        app.post('/script', callback=self._set_script)
        app.get('/ledger', callback=self._ledger)
        app.get('/blocks', callback=lambda: answer_json(self.blocks_made))
        return app

    def _complete(self) -> Any:
        if self.script.get('down'):
            raise bottle.HTTPResponse('down', _DOWN)
        if self.script.get('refuse'):
            sock = bottle.request.environ[SOCKET_KEY]
            sock.shutdown(socket.SHUT_RDWR)
            raise ConnectionAbortedError
        asked = orjson.loads(bottle.request.body.read())
        request_id = bottle.request.get_header('X-Request-Id', 'none')
        stream = Stream(
            request_id=request_id,
            model=asked['model'],
            tokens=int(asked.get('max_tokens', _DEFAULT_TOKENS)),
            blocks=hash_prefixes(prompt_text(asked)),
            sock=bottle.request.environ[SOCKET_KEY],
            marker=bottle.request.get_header('X-Marker', ''),
        )
        self.streams.setdefault(request_id, []).append(stream)
        priority = int(bottle.request.get_header('X-Request-Priority', '0'))
        if asked.get('stream'):
            bottle.response.content_type = 'text/event-stream'
            return self._send_stream(stream, priority)
        return self._send_whole(stream, priority)

    def _send_stream(self, stream: Stream, priority: int) -> Iterator[bytes]:
        with _Slot(self, priority):
            for number in self._generate(stream):
                event = stream.event(number)
                stream.digest.update(event)
                yield event
            stream.digest.update(_DONE)
            stream.whole = True
            yield _DONE

    def _send_whole(
        self,
        stream: Stream,
        priority: int,
    ) -> bottle.HTTPResponse:
        with _Slot(self, priority):
            words: list[str] = []
            for number in self._generate(stream):
                words.append(stream.word(number))
                if peer_closed(stream.sock):
                    raise ConnectionAbortedError
        message = {'role': 'assistant', 'content': ''.join(words)}
        answer = answer_json(
            {
                'id': stream.request_id,
                'object': 'chat.completion',
                'model': stream.model,
                'choices': [
                    {'index': 0, 'message': message, 'finish_reason': 'stop'},
                ],
            }
        )
        stream.digest.update(answer.body)
        stream.whole = True
        return answer

    def _generate(self, stream: Stream) -> Iterator[int]:
        prefill_ms = self._prefill_ms + self._read_prompt(stream)
        gevent.sleep(prefill_ms * self._pace() / _MS)
        for number in range(stream.tokens):
            if number:
                gevent.sleep(self._token_ms * self._pace() / _MS)
            if number == self.script.get('cut_after', -1):
                self._cut(stream)
            stream.made += 1
            yield number

    def _read_prompt(self, stream: Stream) -> float:
        missing = [block for block in stream.blocks if block not in self._cache]
        self.blocks_made += len(missing)
        for block in stream.blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_blocks:
            self._cache.popitem(last=False)
        return self._block_ms * len(missing)

    def _pace(self) -> float:
        crowd = 1 + self._crowding * max(0, self._running - 1)
        return self.script.get('pace', 1) * crowd

    def _cut(self, stream: Stream) -> None:
        cuts = self.script.get('cuts', 0)
        if cuts > 0:
            self.script['cuts'] = cuts - 1
            stream.sock.shutdown(socket.SHUT_RDWR)
            raise ConnectionAbortedError

    def _resume(self, request_id: str) -> Any:
        runs = self.streams.get(request_id)
        if not runs:
            raise bottle.HTTPResponse('unknown stream', _NOT_FOUND)
        first = int(bottle.request.get_header('Last-Event-ID', '-1')) + 1
        bottle.response.content_type = 'text/event-stream'
        stream = runs[-1]
        return itertools.chain(
            map(stream.event, range(first, stream.tokens)),
            (_DONE,),
        )

    def _set_script(self) -> bottle.HTTPResponse:
        self.script = orjson.loads(bottle.request.body.read())
        return answer_json(self.script)

    def _ledger(self) -> bottle.HTTPResponse:
        return answer_json(
            {
                request_id: [
                    {
                        'marker': run.marker,
                        'tokens': run.made,
                        'whole': run.whole,
                        'sha256': run.digest.hexdigest(),
                    }
                    for run in runs
                ]
                for request_id, runs in self.streams.items()
            }
        )


@final
class _Slot:
    """A place in the batch, for a with statement."""

    def __init__(self, engine: EngineStandIn, priority: int) -> None:
        """Prepare to enter."""
        self._engine = engine
        self._priority = priority

    def __enter__(self) -> None:
        """Wait for the place."""
        self._engine.enter(self._priority)

    def __exit__(self, *_error: object) -> None:
        """Give the place back."""
        self._engine.leave()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description='The engine stand-in.')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--capacity', type=int, default=8)
    parser.add_argument('--token-ms', type=float, default=5)
    parser.add_argument('--prefill-ms', type=float, default=20)
    parser.add_argument('--crowding', type=float, default=0)
    parser.add_argument('--block-ms', type=float, default=0)
    parser.add_argument('--cache-blocks', type=int, default=1000)
    chosen = parser.parse_args()
    engine = EngineStandIn(
        capacity=chosen.capacity,
        token_ms=chosen.token_ms,
        prefill_ms=chosen.prefill_ms,
        crowding=chosen.crowding,
        block_ms=chosen.block_ms,
        cache_blocks=chosen.cache_blocks,
    )
    serve(engine.app, chosen.port)


if __name__ == '__main__':
    main()
