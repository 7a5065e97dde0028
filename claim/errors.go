package claim

import (
	"github.com/joomcode/errorx"

	"magnoliaferry/provider"
)

// platformConflict reports whether the error means that a commit was not applied, because a condition did not hold.
func platformConflict(err error) bool { return errorx.IsOfType(err, provider.ErrConflict) }

// platformUnavailable reports whether the error means that a commit was not applied, because the table is unavailable.
// After an error that neither function reports, the commit may have been applied.
func platformUnavailable(err error) bool { return errorx.IsOfType(err, provider.ErrUnavailable) }
