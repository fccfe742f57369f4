// Package driver has the clients of the systems outside wardturn:
// the log and host list, model engines and plain services of the embedded system.
//
// Each driver speaks the published protocol of its system. Engines are met
// through the OpenAI-compatible API with dynamic LoRA loading that serving
// engines publish, the log and the host list through small JSON interfaces over
// HTTP, plain services through HTTP as it is.
package driver
