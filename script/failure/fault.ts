/** A fault that a scenario brings about, and what the scenario may then expect. */
import type { RegisterLine } from '../../stand-in/register.js'
import type { Sending } from '../caller.js'
import type { TestDeployment } from './test-deployment.js'

/** What callers may see while a fault lasts; whole and truthful answers are due in every case. */
export type CallerImpact =
  /** Nothing: no answer may be cut or be unknown. */
  | 'none'
  /** Answers whose truth is unknown, but always stated. */
  | 'unknown'
  /** Broken connections to an entry. */
  | 'cut'

/** A fault; any two can be brought about together. */
export abstract class Fault {
  abstract readonly name: string
  abstract readonly impact: CallerImpact

  /** Brings the fault about. */
  abstract inject (deployment: TestDeployment): Promise<void>

  /** Ends the fault. */
  abstract clear (deployment: TestDeployment): Promise<void>

  /** Findings of what only this fault can break. */
  check (_deployment: TestDeployment, _register: readonly RegisterLine[], _sendings: readonly Sending[]): readonly string[] {
    return []
  }
}
