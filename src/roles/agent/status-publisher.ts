/** Sends an agent's status to every watcher: at once when it matters, load at a bounded rate, otherwise a slow heartbeat. */
import { isSameButLoad } from '../../transports/status-codec.js'
import type { AgentStatus } from '../../types/messages.js'

const loadMilliseconds = 200
const heartbeatMilliseconds = 1000

/** Publisher of one agent's status. */
export class StatusPublisher {
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private last: AgentStatus | undefined
  /** Epoch milliseconds before which load alone is not sent. */
  private loadFrom = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly read: () => AgentStatus) {}

  /** Adds a watcher, which hears the present status at once; the returned function removes it. */
  add (send: (status: AgentStatus) => void): () => void {
    this.watchers.add(send)
    send(this.read())
    this.schedule(Date.now() + heartbeatMilliseconds)
    return () => { this.watchers.delete(send) }
  }

  /** Takes note that the status may have changed. */
  note (): void {
    if (this.watchers.size === 0) return
    const status = this.read()
    if (this.last === undefined || !isSameButLoad(this.last, status)) this.send(status)
    else if (!hasSameLoad(this.last, status)) this.noteLoad()
  }

  stop (): void {
    clearTimeout(this.timer)
    this.watchers.clear()
  }

  private noteLoad (): void {
    if (Date.now() >= this.loadFrom) this.send(this.read())
    else this.schedule(this.loadFrom)
  }

  private send (status: AgentStatus): void {
    this.last = status
    this.loadFrom = Date.now() + loadMilliseconds
    for (const watcher of this.watchers) watcher(status)
    this.schedule(Date.now() + heartbeatMilliseconds)
  }

  private schedule (at: number): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => { this.send(this.read()) }, Math.max(0, at - Date.now()))
  }
}

function hasSameLoad (left: AgentStatus, right: AgentStatus): boolean {
  return left.limit === right.limit && left.inFlight === right.inFlight && left.waiting === right.waiting
}
