package claim

import (
	"github.com/joomcode/errorx"

	"magnoliaferry/provider"
)

// platformConflict reports whether a commit was certainly not applied because a condition did not hold.
func platformConflict(err error) bool { return errorx.IsOfType(err, provider.ErrConflict) }

// platformUnavailable reports whether a commit was certainly not applied. Every other error may hide a commit that was.
func platformUnavailable(err error) bool { return errorx.IsOfType(err, provider.ErrUnavailable) }
