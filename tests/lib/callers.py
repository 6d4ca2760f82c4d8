"""A caller that stores its chats and checks every byte of its answers."""

from standins.calls import StreamReply, make_headers, request, stream_turn
from standins.engine import answer_token
from standins.fleet import WORKSPACE_KEY

MAX_TOKENS = 8


class Caller:
    """Sends chat turns and service calls of one workspace."""

    def __init__(self, *, workspace, rank=None):
        self.headers = make_headers(workspace, WORKSPACE_KEY, rank)
        self.replies: list[StreamReply] = []
        self.call_replies = []
        self._prompts = []
        self._histories: dict[str, str] = {}
        self._hints: dict[str, str] = {}

    def send_turn(self, address, *, chat, text="go on. ", max_tokens=MAX_TOKENS):
        """Send the next turn of a chat with its whole context as the prompt."""
        prompt = self._histories.get(chat, "") + text
        headers = dict(self.headers)
        if chat in self._hints:
            headers["X-Context-Hint"] = self._hints[chat]
        body = {"pool": "lm", "prompt": prompt, "max_tokens": max_tokens}
        reply = stream_turn(address, chat, body, headers)
        self.replies.append(reply)
        self._prompts.append((prompt, max_tokens))
        if reply.end is not None:
            self._hints[chat] = reply.end["context_hint"]
            self._histories[chat] = prompt + "".join(reply.tokens)
        return reply

    def drop_last_turn(self):
        """Exclude the last turn, which was refused or broken, from the checks."""
        self.replies.pop()
        self._prompts.pop()

    def check_answers(self):
        """Check that every answer is complete and belongs to its prompt."""
        for (prompt, count), reply in zip(self._prompts, self.replies, strict=True):
            assert reply.error is None, reply.error
            assert reply.tokens == [answer_token(prompt, i) for i in range(count)]

    def call_service(self, address, *, payload, key=None, timeout=60.0):
        """Call the ledger; with a key the call is not idempotent."""
        headers = dict(self.headers)
        if key is not None:
            headers["Idempotency-Key"] = key
        body = {"payload": payload, "idempotent": key is None}
        path = "/v1/services/ledger/calls"
        reply = request("POST", address, path, body, headers, timeout)
        self.call_replies.append(reply)
        return reply
