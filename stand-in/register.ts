/** Events that stand-ins record about their work, for the checks of the failure tests. */

/** One recorded event; `at` is in epoch milliseconds. */
export type RegisterLine =
  /** An engine started a completion; `bound` is its concurrency limit at that time. */
  | { readonly event: 'started', readonly upstream: string, readonly at: number, readonly id: string, readonly prompt: string, readonly weights: string, readonly resumeFrom: number, readonly running: number, readonly bound: number }
  /** A plain service executed an operation; `body` is the SHA-256 of the request's body. */
  | { readonly event: 'ran', readonly upstream: string, readonly at: number, readonly id: string, readonly key: string, readonly operation: string, readonly body: string }
  /** An engine or a plain service crashed; `overload` when more requests ran than the engine's concurrency limit. */
  | { readonly event: 'crashed', readonly upstream: string, readonly at: number, readonly overload: boolean }
  /** An engine accepted an order; `previousFence` is the last fencing token before it. */
  | { readonly event: 'ordered', readonly upstream: string, readonly at: number, readonly id: string, readonly fence: number, readonly manifest: string, readonly previousFence: number }

/** Receives each event when it happens, before its effect is visible to others. */
export type Recorder = (line: RegisterLine) => void

/** Recorder of a stand-in whose events are not checked. */
export const discardLine: Recorder = () => {}

/** Recorder that prints each event as a line of JSON on standard output. Writes to a pipe are synchronous, so that no event is lost in a kill. */
export function recordToOutput (line: RegisterLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}
