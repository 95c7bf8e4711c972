/** Time of a replay in which no engine serves. */
import { completionIntervalMilliseconds } from '../../src/core/dispatch/admission.js'
import type { EngineFacts } from '../../src/types/fleet.js'
import type { ReplayLoad } from './replay-outcome.js'

/** The outage of a replay, if any; times in milliseconds from the start. */
export class ReplayOutage {
  constructor (private readonly load: ReplayLoad, private readonly facts: EngineFacts) {}

  isOn (now: number): boolean {
    const { outage } = this.load
    return outage !== undefined && now >= outage.from && now < outage.until
  }

  /** When engines are expected to serve; undefined if they do, or if that is not known. */
  expectedAt (now: number): number | undefined {
    return this.isOn(now) && this.load.outage?.isEndKnown === true ? this.load.outage.until : undefined
  }

  /** Requests of one entry that the engines can start after the outage until `latest`. */
  servable (latest: number, now: number): number {
    return Math.max(0, latest - (this.expectedAt(now) ?? latest)) / completionIntervalMilliseconds(this.facts) * this.load.engines / this.load.entries
  }
}
