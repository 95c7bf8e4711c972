/** Work that nobody awaits. */
import type { PartLog } from './log.js'

/** Runs a promise whose failure is only logged. */
export function runInBackground (work: Promise<unknown>, log: PartLog, task: string): void {
  work.catch((error: unknown) => { log.error('a background task failed', { task, reason: String(error) }) })
}
