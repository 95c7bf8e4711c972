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

/** A fault; any two can be injected together. */
export abstract class Fault {
  abstract readonly name: string
  abstract readonly impact: CallerImpact

  /** Injects the fault; may last as long as the fault itself. */
  abstract inject (deployment: TestDeployment): Promise<void>

  /** Ends the fault and restores what it changed. */
  abstract clear (deployment: TestDeployment): Promise<void>

  /** Findings of the checks that apply to this fault only. */
  check (_deployment: TestDeployment, _register: readonly RegisterLine[], _sendings: readonly Sending[]): readonly string[] {
    return []
  }
}
