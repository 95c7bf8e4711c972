/** Expected times of a request at an upstream. */
import type { EngineFacts } from '../../types/fleet.js'
import { completionIntervalMilliseconds } from './admission.js'

/** An upstream as one entry knows it. */
export interface UpstreamEstimate {
  readonly slots: number
  /** Undefined for a plain upstream. */
  readonly engine: EngineFacts | undefined
  /** Requests that run or are queued there. */
  readonly load: number
  /** Of these, requests of this entry whose answer has not started. */
  readonly unstarted: number
  /** How long its work takes now, 1 for as long as usual. */
  readonly pace: number
  /** Measured time divided by the computed one; for a plain upstream the time of one request, milliseconds. */
  readonly measured: number
  readonly isSameDataCentre: boolean
}

/** What a request asks of its upstream. */
export interface RequestWork {
  readonly promptTokens: number
  readonly answerTokens: number
  /** Goal for the time to the first event, or to a plain answer, milliseconds. */
  readonly goalMilliseconds: number
  /** Time left until the goal, milliseconds; undefined where it has passed or the request must not wait. */
  readonly remainingMilliseconds?: number | undefined
}

/** Times of a request from now, milliseconds. */
export interface ExpectedTime {
  readonly firstEvent: number
  readonly completion: number
}

/** Round trip between data centres, milliseconds. */
const linkMilliseconds = 4
/** Price of traffic between data centres, as a share of the request's goal: so much time has to be saved. */
const otherDataCentreGoalShare = 0.05
/** Weight of the time that a request occupies its slot, relative to the time to its first event: the next request waits for the slot. */
const completionWeight = 0.1

/** Expected times without the network; `measured` and `pace` apply to both. */
export function expectedTime (upstream: UpstreamEstimate, work: RequestWork): ExpectedTime {
  const scale = upstream.pace * upstream.measured
  const { firstEvent, completion } = computedTime(upstream, work)
  return { firstEvent: firstEvent * scale, completion: completion * scale }
}

/** Times of a request at the usual pace; for a plain upstream as multiples of the time of one request. */
export function computedTime (upstream: Omit<UpstreamEstimate, 'pace' | 'measured'>, work: RequestWork): ExpectedTime {
  const { engine, slots, load } = upstream
  if (engine === undefined) {
    const time = 1 + queued(load, slots) / Math.max(1, slots)
    return { firstEvent: time, completion: time }
  }
  const readMilliseconds = (tokens: number): number => tokens / engine.promptTokensPerSecond * 1000
  const typicalRead = readMilliseconds(engine.typicalPromptTokens)
  const typicalAnswer = engine.typicalAnswerTokens * engine.stepMilliseconds
  const others = Math.max(0, load - upstream.unstarted)
  const unread = upstream.unstarted + others * typicalRead / (typicalRead + typicalAnswer)
  const pass = engine.stepsPerPass * engine.stepMilliseconds
  const wait = queued(load, slots) * completionIntervalMilliseconds(engine) + unread * typicalRead + (load > 0 ? pass / 2 : 0)
  const firstEvent = wait + readMilliseconds(work.promptTokens) + engine.stepMilliseconds
  return { firstEvent, completion: firstEvent + work.answerTokens * engine.stepMilliseconds }
}

/** Factor by which an expected time may exceed what is left until the goal: expected times are means. */
const inTimeFactor = 1.1

/** Whether the first event is expected within the goal; true where the request may not wait for another upstream. */
export function isExpectedInTime (upstream: UpstreamEstimate, work: RequestWork): boolean {
  return work.remainingMilliseconds === undefined || expectedTime(upstream, work).firstEvent <= work.remainingMilliseconds * inTimeFactor
}

/** What placement compares, milliseconds: the time to the first event, the occupied slot and the link with its price. */
export function placementCost (upstream: UpstreamEstimate, work: RequestWork): number {
  const { firstEvent, completion } = expectedTime(upstream, work)
  const link = upstream.isSameDataCentre ? 0 : linkMilliseconds + work.goalMilliseconds * otherDataCentreGoalShare
  return firstEvent + completion * completionWeight + link
}

/** Largest distance from full, as a share of the slots, at which a request may have to wait: the load is known only as of the last message. */
const nearlyFullShare = 0.25

/** Requests that are expected to end before a new one runs; rises smoothly from nearly full slots on. */
function queued (load: number, slots: number): number {
  const margin = Math.max(1, slots * nearlyFullShare)
  const over = load + 1 - slots
  if (over <= -margin) return 0
  return over >= margin ? over : (over + margin) ** 2 / (4 * margin)
}
