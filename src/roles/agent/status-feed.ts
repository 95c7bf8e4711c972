/** Pushes the agent's status to the entries that watch it: changes of state at once, changes of counts at intervals. */
import type { AgentStatus } from '../../types/messages.js'

const heartbeatIntervalMilliseconds = 1000

/** Watchers of one agent; each receives the status on subscription, on changes, and as a heartbeat. */
export class StatusFeed {
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private lastPushedState = ''
  private heartbeatTimer: NodeJS.Timeout | undefined
  private pendingPush: NodeJS.Timeout | undefined

  /** `loadMilliseconds` is the minimum time between two pushes for changed counts alone. */
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

  /** Adds a watcher, which receives the current status at once; the returned function removes it. */
  add (send: (status: AgentStatus) => void): () => void {
    this.watchers.add(send)
    send(this.status())
    return () => { this.watchers.delete(send) }
  }

  /** Called after a change: pushes a changed state, weights, limit, incarnation or suspects at once, and changed counts with a delay. */
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
