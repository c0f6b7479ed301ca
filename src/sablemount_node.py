"""Starts a sablemount process on the users' platform, from a source tree."""

import sys

from sablemount.platform import hangup

# Before the other imports, which take most of the time until the signal can be handled.
hangup.hold()

from sablemount.platform.main import main  # noqa: E402

sys.exit(main())
