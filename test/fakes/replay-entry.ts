/** An entry of the replays of load. */
import { ExpectedWaits } from '../../src/core/dispatch/expected-wait.js'
import { FirstEventWaits } from '../../src/core/dispatch/first-event-waits.js'
import type { ReportedLoad } from '../../src/core/dispatch/free-slots.js'
import { SlotRequests } from '../../src/core/dispatch/slot-requests.js'
import type { SimulatedRequest } from './replay-engine.js'

/** A message on its way. */
export interface Message {
  readonly at: number
  readonly arrive: () => void
}

/** One entry: what it knows of the engines, and its queue. */
export class ReplayEntry {
  readonly waits = new FirstEventWaits()
  readonly expected = new ExpectedWaits()
  readonly slots = new SlotRequests()
  readonly inFlight: number[]
  readonly unstarted: number[]
  reported: ReportedLoad[]
  queue: SimulatedRequest[] = []

  constructor (engines: number) {
    this.inFlight = Array.from({ length: engines }, () => 0)
    this.unstarted = [...this.inFlight]
    this.reported = this.inFlight.map(() => ({ total: 0, local: 0, roundingOffset: 0, sent: 0, ended: 0 }))
  }

  updateReport (index: number, change: (reported: ReportedLoad) => Partial<ReportedLoad>): void {
    const reported = this.reported[index]
    if (reported !== undefined) this.reported[index] = { ...reported, ...change(reported) }
  }
}
