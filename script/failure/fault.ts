/** A fault that a scenario injects, and its permitted effect on callers. */
import type { RegisterLine } from '../../stand-in/register.js'
import type { Sending } from '../caller.js'
import type { TestDeployment } from './test-deployment.js'

/** What callers may observe during a fault; an answer or outcome that they do receive must always be correct. */
export type CallerImpact =
  /** No effect: no answer may be cut off or have an unknown outcome. */
  | 'none'
  /** Requests whose outcome is reported as unknown. */
  | 'unknown'
  /** Broken connections to an entry, and requests with an unknown outcome. */
  | 'cut'

/** Time in which an entry takes no requests since it stopped as planned, epoch milliseconds. */
export interface EntryDowntime {
  readonly entry: string
  readonly from: number
  /** Infinity while it has not been started again. */
  readonly until: number
}

/** A fault; any two can be injected together. */
export abstract class Fault {
  abstract readonly name: string
  abstract readonly impact: CallerImpact

  /** Injects the fault; may last as long as the fault itself. */
  abstract inject (deployment: TestDeployment): Promise<void>

  /** Ends the fault and restores what it changed. */
  abstract clear (deployment: TestDeployment): Promise<void>

  /** Downtime of the entry that this fault stopped as planned; undefined if it stopped none. Callers need one of the others. */
  get downtime (): EntryDowntime | undefined {
    return undefined
  }

  /** Findings of the checks that apply to this fault only. */
  check (_deployment: TestDeployment, _register: readonly RegisterLine[], _sendings: readonly Sending[]): readonly string[] {
    return []
  }
}
