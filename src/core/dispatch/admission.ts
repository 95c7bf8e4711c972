/** Admission: how long a queue a request may join, by what it can still reach. */
import type { EngineFacts, Route } from '../../types/fleet.js'
import type { Admission } from './placement.js'

/** What admission looks at. */
export interface AdmissionContext {
  readonly route: Route
  readonly engine: EngineFacts | undefined
  /** Whether the caller's goal has passed already, as for one that comes back after a refusal. */
  readonly isLate: boolean
  /** Wait for first events lately, milliseconds. */
  readonly waitMilliseconds: number
}

/** Part of the goal that may be spent waiting for a slot; the rest is for reading the prompt and for the pass under way. */
const queueGoalShare = 0.4
/** Part of the goal by which the first event is to come: what others wait now leaves less of it for a queue. */
const firstEventGoalShare = 0.9
/** Part of the slots that a late request may use: the rest is kept for requests that can still meet their goal. */
const lateRequestsPerSlot = 0.75
/** Requests at a plain upstream for each of its slots: one that runs and two that wait, as its answers are short. */
const plainRequestsPerSlot = 3

/** Queue that a request may join. */
export function admissionFor (view: AdmissionContext): Admission {
  if (view.engine === undefined) return { requestsPerSlot: plainRequestsPerSlot, waiting: 0 }
  if (view.isLate) return { requestsPerSlot: lateRequestsPerSlot, waiting: 0 }
  const { goalMilliseconds } = view.route
  const spare = Math.min(goalMilliseconds * queueGoalShare, goalMilliseconds * firstEventGoalShare - view.waitMilliseconds)
  return { requestsPerSlot: 1, waiting: Math.max(0, Math.floor(spare / completionIntervalMilliseconds(view.engine))) }
}

/** Usual time between two requests that an engine finishes at full load, milliseconds. */
export function completionIntervalMilliseconds (engine: EngineFacts): number {
  const reading = engine.usualPromptTokens / engine.promptTokensPerSecond * 1000
  const writing = engine.usualAnswerTokens * engine.stepMilliseconds / engine.slots
  return reading + writing
}
