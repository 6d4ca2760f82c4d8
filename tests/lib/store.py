"""A model of the platform's store; tests choose when each call takes effect."""

from rosemarystream._internal.models.events import (
    ObjectCallFailed,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    ReadObject,
)


class PendingCall:
    """A call that a host has sent and that may not have reached the store yet."""

    def __init__(self, owner, action):
        self.owner = owner
        self.action = action
        self.result = None


class ModelStore:
    """Versioned objects with conditional writes; it may come back from a copy."""

    def __init__(self, era=0):
        self.objects = {}
        self.revision = 0
        self.era = era

    def save_copy(self):
        return dict(self.objects), self.revision

    def load_copy(self, copy):
        """Forget all that was written since; revisions are given out again."""
        objects, self.revision = copy
        self.objects = dict(objects)
        self.era += 1

    def take_effect(self, call):
        """Apply a call to the store; its result is kept in the call until delivery."""
        action = call.action
        version, value = self.objects.get((action.kind, action.name), (0, b""))
        if isinstance(action, ReadObject):
            call.result = ObjectRead(action.tag, version, value, self.era)
        elif version != action.expected:
            call.result = ObjectConflict(action.tag)
        else:
            self.revision += 1
            self.objects[action.kind, action.name] = self.revision, action.value
            call.result = ObjectWritten(action.tag, self.revision, self.era)

    @staticmethod
    def lose(call):
        """Return the result of a call whose answer is lost."""
        return ObjectCallFailed(call.action.tag)
