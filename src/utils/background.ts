/** Tasks that run without being awaited. */
import type { ComponentLogger } from './log.js'

/** Logs the rejection of a promise that is not awaited; `task` names it in the log. */
export function runInBackground (work: Promise<unknown>, log: ComponentLogger, task: string): void {
  work.catch((error: unknown) => { log.error('a background task failed', { task, reason: String(error) }) })
}
