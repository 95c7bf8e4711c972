/** Common interface of the roles that the daemon runs. */

/** A role that has been started. */
export interface RunningNode {
  /** Stops in an orderly way; resolves once all running requests have finished. */
  stop (): Promise<void>
}
