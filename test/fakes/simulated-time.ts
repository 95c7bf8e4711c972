/**
 * Simulated time for parts that talk over real connections within one process: timers and the monotonic clock advance to the
 * next timer only while no message is on its way, so that a measured time does not depend on the machine.
 */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { ClientRequest, IncomingMessage } from 'node:http'

interface Timer {
  dueAt: number
  readonly order: number
  readonly intervalMilliseconds: number | undefined
  readonly run: () => void
}

/** Turns of the event loop in which callbacks of the last timer or message may start others. */
const quietTurns = 6
const requestStart = 'http.client.request.start'

/** Replaces the timers and `performance.now` of the process from `start` to `stop`. */
export class SimulatedTime {
  /** Whole milliseconds, so that timers that are due at nearly the same time run together. */
  private now = Math.round(performance.now())
  private readonly timers = new Map<number, Timer>()
  private lastId = 0
  private inFlight = 0
  /** Messages that were sent or received so far. */
  private events = 0
  private isRunning = true
  private readonly original = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval }

  /** Starts; HTTP requests of this process count as on their way until `arrived`. */
  static start (): SimulatedTime {
    const time = new SimulatedTime()
    const set = (run: (...values: unknown[]) => void, milliseconds: number, isInterval: boolean, values: readonly unknown[]): unknown => {
      const id = time.add(() => { run(...values) }, milliseconds, isInterval)
      const handle = { id, ref: () => handle, unref: () => handle, hasRef: () => true, [Symbol.toPrimitive]: () => id }
      return handle
    }
    const clear = (handle: unknown): void => { if (typeof handle === 'object' && handle !== null && 'id' in handle) time.timers.delete(Number(handle.id)) }
    Object.assign(globalThis, {
      setTimeout: (run: () => void, milliseconds = 0, ...values: unknown[]) => set(run, milliseconds, false, values),
      setInterval: (run: () => void, milliseconds = 0, ...values: unknown[]) => set(run, milliseconds, true, values),
      clearTimeout: clear,
      clearInterval: clear
    })
    performance.now = () => time.now
    subscribe(requestStart, time.watchRequest)
    time.turn(0, 0)
    return time
  }

  /** A request has arrived at its server. */
  arrived (): void {
    this.count(-1)
  }

  /** A server sends a complete answer, which is on its way until the caller has read it. */
  answered (): void {
    this.count(1)
  }

  /** Restores the timers and the clock; timers that are left never run. */
  stop (): void {
    this.isRunning = false
    unsubscribe(requestStart, this.watchRequest)
    Object.assign(globalThis, this.original)
    Reflect.deleteProperty(performance, 'now')
  }

  private readonly watchRequest = (message: unknown): void => {
    const { request } = message as { readonly request: ClientRequest }
    this.count(1)
    request.prependListener('response', (answer: IncomingMessage) => { answer.once('end', () => { this.count(-1) }) })
  }

  private count (change: number): void {
    this.inFlight += change
    this.events += 1
  }

  private add (run: () => void, milliseconds: number, isInterval: boolean): number {
    this.lastId += 1
    const delay = Math.max(1, Number.isFinite(milliseconds) ? Math.round(milliseconds) : 1)
    this.timers.set(this.lastId, { dueAt: this.now + delay, order: this.lastId, intervalMilliseconds: isInterval ? delay : undefined, run })
    return this.lastId
  }

  /** Advances after some turns without a message. */
  private turn (quiet: number, eventsBefore: number): void {
    if (!this.isRunning) return
    const isQuiet = this.inFlight === 0 && this.events === eventsBefore
    if (isQuiet && quiet >= quietTurns) this.runNext()
    const { events } = this
    setImmediate(() => { this.turn(isQuiet && quiet < quietTurns ? quiet + 1 : 0, events) })
  }

  private runNext (): void {
    const dueAt = Math.min(...[...this.timers.values()].map(timer => timer.dueAt))
    if (dueAt === Infinity) return
    this.now = Math.max(this.now, dueAt)
    const due = [...this.timers].filter(([, timer]) => timer.dueAt <= this.now).sort(([, left], [, right]) => left.dueAt - right.dueAt || left.order - right.order)
    for (const [id, timer] of due) {
      if (!this.timers.has(id)) continue
      if (timer.intervalMilliseconds === undefined) this.timers.delete(id)
      else timer.dueAt = this.now + timer.intervalMilliseconds
      timer.run()
    }
  }
}
