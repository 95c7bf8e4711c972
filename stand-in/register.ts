/** What stand-ins record of the work they do, for the judges of the failure tests. */

/** One recorded fact; `at` in epoch milliseconds. */
export type RegisterLine =
  /** An engine began a completion. */
  | { readonly event: 'started', readonly upstream: string, readonly at: number, readonly id: string, readonly prompt: string, readonly weights: string, readonly resumeFrom: number, readonly running: number, readonly bound: number }
  /** A plain service carried out an operation. */
  | { readonly event: 'ran', readonly upstream: string, readonly at: number, readonly id: string, readonly key: string, readonly operation: string, readonly body: string }
  /** An engine fell over; `overload` when it had more work than it bears. */
  | { readonly event: 'crashed', readonly upstream: string, readonly at: number, readonly overload: boolean }
  /** An engine carried out an order. */
  | { readonly event: 'ordered', readonly upstream: string, readonly at: number, readonly id: string, readonly fence: number, readonly manifest: string, readonly previousFence: number }

/** Takes each fact as it happens, before its effect can be seen outside. */
export type Recorder = (line: RegisterLine) => void

/** Recorder of a stand-in that nobody judges. */
export const discardLine: Recorder = () => {}

/** Recorder that prints each fact as a line of JSON on standard output; a write to a pipe is synchronous. */
export function recordToOutput (line: RegisterLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`)
}
