/** Pushes the agent's status to the entries that watch it: at once when it matters, otherwise at intervals. */
import type { AgentStatus } from '../../types/messages.js'

const heartbeatIntervalMilliseconds = 1000

/** The watchers of one agent. */
export class StatusFeed {
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private lastPushedState = ''
  private heartbeatTimer: NodeJS.Timeout | undefined
  private pendingPush: NodeJS.Timeout | undefined

  /** `loadMilliseconds` is the least time between two reports of counts alone. */
  constructor (private readonly status: () => AgentStatus, private readonly loadMilliseconds: number) {}

  start (): void {
    this.heartbeatTimer = setInterval(() => { this.push() }, heartbeatIntervalMilliseconds)
  }

  stop (): void {
    clearInterval(this.heartbeatTimer)
    clearTimeout(this.pendingPush)
  }

  get watcherCount (): number {
    return this.watchers.size
  }

  /** Adds a watcher; the returned function removes it. */
  add (send: (status: AgentStatus) => void): () => void {
    this.watchers.add(send)
    send(this.status())
    return () => { this.watchers.delete(send) }
  }

  /** Something changed: a changed state goes out at once, mere counts are gathered. */
  changed (): void {
    const { state, weights, limit, incarnation, suspects } = this.status()
    const significant = JSON.stringify([state, weights, limit, incarnation, suspects])
    if (significant !== this.lastPushedState) {
      this.lastPushedState = significant
      this.push()
      return
    }
    this.pendingPush ??= setTimeout(() => { this.push() }, this.loadMilliseconds)
  }

  private push (): void {
    clearTimeout(this.pendingPush)
    this.pendingPush = undefined
    const status = this.status()
    for (const send of this.watchers) send(status)
  }
}
