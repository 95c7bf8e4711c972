/** What the daemon knows of a running role. */

/** A running node. */
export interface RunningNode {
  /** Planned stop: finishes what runs, then resolves. */
  stop (): Promise<void>
}
