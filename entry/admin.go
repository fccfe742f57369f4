package entry

import (
	"github.com/fasthttp/router"
)

// routeAdmin adds the operators' API.
func (e *Entry) routeAdmin(*router.Router) {}
