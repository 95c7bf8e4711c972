/** Pushes the agent's status to the entries that watch it: at once when it matters, otherwise at intervals. */
import type { AgentStatus } from '../../types/messages.js'

const heartbeatMilliseconds = 1000

/** The watchers of one agent. */
export class StatusFeed {
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private last = ''
  private heartbeat: NodeJS.Timeout | undefined
  private pending: NodeJS.Timeout | undefined

  /** `loadMilliseconds` is the least time between two reports of counts alone. */
  constructor (private readonly status: () => AgentStatus, private readonly loadMilliseconds: number) {}

  start (): void {
    this.heartbeat = setInterval(() => { this.push() }, heartbeatMilliseconds)
  }

  stop (): void {
    clearInterval(this.heartbeat)
    clearTimeout(this.pending)
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
    const facts = JSON.stringify([state, weights, limit, incarnation, suspects])
    if (facts !== this.last) {
      this.last = facts
      this.push()
      return
    }
    this.pending ??= setTimeout(() => { this.push() }, this.loadMilliseconds)
  }

  private push (): void {
    clearTimeout(this.pending)
    this.pending = undefined
    const status = this.status()
    for (const send of this.watchers) send(status)
  }
}
