/** Keeps a node's configuration in force: tails the log and never steps back. */
import { emptyFold, foldPage } from '../core/configuration/fold.js'
import type { LogClient } from '../transports/log-client.js'
import { streams } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'
import { runInBackground } from '../utils/background.js'
import { logFor } from '../utils/log.js'
import { waitUntil } from '../utils/clock.js'

const pollMilliseconds = 1000
const retryMilliseconds = 250
const confirmationMilliseconds = 3000

const log = logFor('configuration')

/** Follows the configuration stream. */
export class ConfigurationFollower {
  private folded: FoldState = emptyFold
  private readonly stopping = new AbortController()
  private readonly listeners = new Set<() => void>()
  /** Whether the last read of the log succeeded. */
  logReachable = false
  /** Epoch milliseconds until which the configuration counts as confirmed. */
  confirmedUntil = 0

  constructor (private readonly client: LogClient) {}

  /** Configuration in force. */
  get state (): FoldState {
    return this.folded
  }

  /** Calls back after each change of the state. */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  start (): void {
    runInBackground(this.tail(), log, 'tail the log')
  }

  stop (): void {
    this.stopping.abort()
  }

  private async tail (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        const page = await this.client.read(streams.configuration, this.folded.next, Date.now() + pollMilliseconds)
        this.logReachable = true
        this.confirmedUntil = Date.now() + confirmationMilliseconds
        this.take(foldPage(this.folded, page))
      } catch (error) {
        if (this.logReachable) log.warn('the log cannot be read', { reason: String(error) })
        this.logReachable = false
        await waitUntil(Date.now() + retryMilliseconds, this.stopping.signal)
      }
    }
  }

  private take (state: FoldState): void {
    if (state.next <= this.folded.next) return
    this.folded = state
    for (const listener of this.listeners) listener()
  }
}
