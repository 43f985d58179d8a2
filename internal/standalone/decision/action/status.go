package action

// HTTP statuses of responses. They are defined here so that the decision packages do
// not import a package that does I/O.
const (
	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusUnauthorized       = 401
	StatusNotFound           = 404
	StatusConflict           = 409
	StatusGone               = 410
	StatusTooLarge           = 413
	StatusUnprocessable      = 422
	StatusTooManyRequests    = 429
	StatusInternalError      = 500
	StatusBadGateway         = 502
	StatusServiceUnavailable = 503
	StatusGatewayTimeout     = 504
)
