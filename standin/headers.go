package standin

// Headers of a worker's responses.
const (
	HeaderLimit   = "Server-Limit"
	HeaderLeaving = "Server-Leaving"
	HeaderSeal    = "X-Wardturn-Server-Seal"
)
