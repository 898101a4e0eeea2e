"""Errors of the routing configuration."""

from __future__ import annotations


class RoutingError(Exception):
    """Base class of the errors of this package."""


class ConfigError(RoutingError):
    """A configuration document breaks a rule.

    Attributes:
        path: Dotted path of the field at fault, empty for the document itself.
        reason: The value found and what is allowed.
    """

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path or 'document'}: {why}")
        self.path = path
        self.reason = why


class StalePatchError(RoutingError):
    """A patch was made against a version that is not the current one.

    Attributes:
        base_version: Version that the patch states.
        current_version: Version that is current.
    """

    def __init__(self, base_version: int, current_version: int) -> None:
        super().__init__(
            f"the patch is against version {base_version}, the current version is {current_version}"
        )
        self.base_version = base_version
        self.current_version = current_version


class RegistryUnavailableError(RoutingError):
    """The store could not be reached; nothing was changed."""


class RegistryRefusedError(RoutingError):
    """The store found the write of a version invalid, such as too large."""


class PatchOutcomeUnknownError(RoutingError):
    """The store did not say whether a patch was accepted.

    Attributes:
        patch_id: Id of the patch; proposing it again with this id is safe.
        base_version: Version that the patch states.
    """

    def __init__(self, patch_id: str, base_version: int, why: str) -> None:
        super().__init__(
            f"no answer tells whether patch {patch_id} against version {base_version} "
            f"was accepted ({why}); propose it again with the same id"
        )
        self.patch_id = patch_id
        self.base_version = base_version


class ConfigRecordError(RoutingError):
    """A configuration record in the store cannot be used.

    Attributes:
        key: Key of the record.
        reason: What is wrong with it.
    """

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"record {key}: {why}")
        self.key = key
        self.reason = why
