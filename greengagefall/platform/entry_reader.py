"""Reads the objects of a document one by one and notes what cannot be read, with its place."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from greengagefall.gateway.model import UnreadableEntry
from greengagefall.platform import fields as field_readers
from greengagefall.platform.exceptions import FieldError
from greengagefall.platform.fields import shown, shown_without_text

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

Value = TypeVar("Value")

MISSING = object()


class Rows(NamedTuple):
    """The objects in a list of the document.

    Attributes:
        readers: Readers of its objects.
        complete: Whether it is a list that has only objects.
    """

    readers: list[EntryReader]
    complete: bool


class EntryReader:
    """Reads the fields of one JSON object.

    A method that cannot read its field notes that and returns the fallback, so that one pass over
    the document finds all that is wrong.

    Args:
        path: Place of the object, empty for the whole document.
        fields: The object.
        notes: Where unreadable values are noted; shared by all readers of a document.
        hide_texts: Whether the object may hold secrets, so that notes must not show texts.
        parent: Reader of the object that holds this one.

    Attributes:
        path: As above.
        notes: As above.
        readable: Whether nothing of the object has been noted yet.
    """

    def __init__(
        self,
        path: str,
        fields: dict[str, Any],
        notes: list[UnreadableEntry],
        *,
        hide_texts: bool = False,
        parent: EntryReader | None = None,
    ) -> None:
        self.path = path
        self.notes = notes
        self.readable = True
        self._fields = fields
        self._hide_texts = hide_texts
        self._parent = parent

    def __contains__(self, name: str) -> bool:
        return name in self._fields

    def hiding_texts(self) -> EntryReader:
        """Returns a reader of the same object whose notes show no texts."""
        return EntryReader(self.path, self._fields, self.notes, hide_texts=True, parent=self)

    def note(self, name: str, value: object, expected: str) -> None:
        """Notes an unreadable value."""
        describe = shown_without_text if self._hide_texts else shown
        value_text = "missing" if value is MISSING else describe(value)
        self.notes.append(UnreadableEntry(self._path_of(name), value_text, expected))
        self._mark_unreadable()

    def text(self, name: str, fallback: str = "") -> str:
        """Returns a text that is not empty."""
        return self._read(field_readers.read_text, name, fallback)

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        minimum: float = 0.0,
        maximum: float = field_readers.MAX_NUMBER,
    ) -> float:
        """Returns a number; the default if the field is missing, 0 if it is unreadable."""
        return self._read(
            field_readers.read_number,
            name,
            0.0 if default is None else default,
            default,
            minimum=minimum,
            maximum=maximum,
        )

    def switch(self, name: str) -> bool:
        """Returns a boolean, False if the field is missing."""
        value = self._fields.get(name, False)
        if isinstance(value, bool):
            return value
        self.note(name, value, "true or false")
        return False

    def choice(self, name: str, allowed: Sequence[str]) -> str:
        """Returns one of some texts."""
        value = self._fields.get(name, MISSING)
        if isinstance(value, str) and value in allowed:
            return value
        self.note(name, value, f"one of {', '.join(allowed)}")
        return allowed[0]

    def token(self, name: str, default: str) -> str:
        """Returns a text that can be sent in a request line."""

        def read(place: str, fields: dict[str, Any], name: str) -> str:
            return field_readers.check_token(place, name, fields.get(name, default))

        return self._read(read, name, default)

    def object(self, name: str, default: dict[str, Any] | None = None) -> EntryReader | None:
        """Returns a reader of a member that is an object, None if it is unreadable."""
        value = self._fields.get(name, MISSING if default is None else default)
        if not isinstance(value, dict):
            self.note(name, value, "an object")
            return None
        return self._reader(self._path_of(name), value)

    def items(self, name: str) -> list[Any] | None:
        """Returns a list, empty if the field is missing, None if it is not a list."""
        value = self._fields.get(name, [])
        if isinstance(value, list):
            return value
        self.note(name, value, "a list")
        return None

    def rows(self, name: str) -> Rows:
        """Returns the objects in a list, which may be missing."""
        items = self.items(name)
        readers = []
        for index, item in enumerate(items or ()):
            if isinstance(item, dict):
                readers.append(self._reader(f"{self._path_of(name)}[{index}]", item))
            else:
                self.note(f"{name}[{index}]", item, "an object")
        return Rows(readers, items is not None and len(readers) == len(items))

    def _reader(self, path: str, fields: dict[str, Any]) -> EntryReader:
        return EntryReader(path, fields, self.notes, hide_texts=self._hide_texts, parent=self)

    def _mark_unreadable(self) -> None:
        self.readable = False
        if self._parent is not None:
            self._parent._mark_unreadable()

    def _path_of(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _read(
        self, read: Callable[..., Value], name: str, fallback: Value, *args: Any, **options: Any
    ) -> Value:
        try:
            return read(self.path, self._fields, name, *args, **options)
        except FieldError as error:
            self.note(name, self._fields.get(name, MISSING), error.expected)
            return fallback
