// Package driver contains clients for the systems outside wardturn: the log and
// the host list of the platform, model engines, and plain HTTP services.
//
// Each client uses the public protocol of its system: the OpenAI-compatible API
// with dynamic LoRA loading for engines, JSON over HTTP for the log and the host
// list, and unmodified HTTP for plain services.
package driver
