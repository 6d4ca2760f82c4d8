"""A model of the platform's store whose calls take effect at any moment."""

from rosemarystream._internal.models.events import (
    ObjectCallFailed,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    ReadObject,
)


class PendingCall:
    """One call that has left a host and may not have reached the store."""

    def __init__(self, owner, action):
        self.owner = owner
        self.action = action
        self.result = None


class ModelStore:
    """Versioned objects with conditional writes."""

    def __init__(self):
        self.objects = {}
        self.revision = 0

    def take_effect(self, call):
        """Let a call reach the store; its result is kept until delivered."""
        action = call.action
        version, value = self.objects.get((action.kind, action.name), (0, b""))
        if isinstance(action, ReadObject):
            call.result = ObjectRead(action.tag, version, value)
        elif version != action.expected:
            call.result = ObjectConflict(action.tag)
        else:
            self.revision += 1
            self.objects[action.kind, action.name] = self.revision, action.value
            call.result = ObjectWritten(action.tag, self.revision)

    @staticmethod
    def lose(call):
        """Return the result of a call whose answer is lost."""
        return ObjectCallFailed(call.action.tag)
