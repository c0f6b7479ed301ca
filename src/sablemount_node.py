"""Start a sablemount process on the users' platform, from a source tree."""

import sys

from sablemount.platform import hangup

# SIGHUP is blocked before the other imports, which take most of the time until its handler is set.
hangup.block()

from sablemount.platform.main import main  # noqa: E402

sys.exit(main())
