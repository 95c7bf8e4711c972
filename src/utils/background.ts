/** Work that nobody awaits. */
import type { ComponentLogger } from './log.js'

/** Runs a promise whose failure is only logged. */
export function runInBackground (work: Promise<unknown>, log: ComponentLogger, task: string): void {
  work.catch((error: unknown) => { log.error('a background task failed', { task, reason: String(error) }) })
}
