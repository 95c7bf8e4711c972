/** Serves one checked request: chooses upstreams, retries attempts that did not run, and resumes interrupted answers. */
import type { ServerResponse } from 'node:http'
import type { CallerRequest } from '../../core/caller-request.js'
import { claimKey } from '../../core/claims.js'
import { intentsOf } from '../../core/configuration/resolve.js'
import { earliestRetry, maximumAttempts, addRetryJitter } from '../../core/retry.js'
import { candidatesOf, chooseUpstream, hasFreeSlot, type UpstreamRequirements, type UpstreamView } from '../../core/routing.js'
import { createFailure, type Failure, type FailureTag } from '../../errors.js'
import type { Configuration, Organisation } from '../../types/configuration.js'
import { logFor } from '../../utils/log.js'
import { AnswerTracker, type AttemptResult } from './attempt-input.js'
import { attempt, sendPlainAnswer } from './attempt.js'
import type { AnswerHost } from './host.js'
import { resolveLostRequest, resolveByOutcome, type Resolution } from './resolve-outcome.js'

const log = logFor('entry')
/** Delay until the caller may retry, where no upstream reported one. */
const retryDelayMilliseconds = 500

/** Refusals after which the request is sent to another upstream. */
const retriedTags: ReadonlySet<FailureTag> = new Set(['busy', 'closed', 'leaving', 'data-centre-out', 'upstream-refused', 'isolated', 'no-configuration', 'late-deadline'])

/** A checked request with its response. */
export interface ServedRequest {
  readonly caller: CallerRequest
  readonly configuration: Configuration
  readonly organisation: Organisation
  /** Epoch milliseconds. */
  readonly receivedAt: number
  readonly response: ServerResponse
  readonly traceParent: string
  /** Aborts at the deadline, and for an idempotent operation also when the caller disconnects. */
  readonly signal: AbortSignal
}

/** Serves the request; returns undefined once it was answered, otherwise the failure to report to the caller. */
export async function serve (host: AnswerHost, request: ServedRequest): Promise<Failure | undefined> {
  return await new RequestDispatch(host, request).run()
}

/** Result of a step: the request is over, with or without a failure, or another upstream is tried next. */
type Step = { readonly kind: 'over', readonly failure: Failure | undefined } | { readonly kind: 'next' }

const nextUpstream: Step = { kind: 'next' }

/** Dispatch of one request to one upstream after another. */
class RequestDispatch {
  private readonly tried = new Set<string>()
  private readonly tracker: AnswerTracker
  /** Retry times that upstreams reported, epoch milliseconds, 0 for none. */
  private readonly retryTimes: number[] = []
  /** Last failure of an attempt that did not run. */
  private refusal: Failure | undefined
  /** Whether an attempt of an idempotent operation was lost, so that it may have run. */
  private isLost = false

  constructor (private readonly host: AnswerHost, private readonly request: ServedRequest) {
    this.tracker = new AnswerTracker({ id: request.caller.id, weights: '', next: 0 })
  }

  async run (): Promise<Failure | undefined> {
    const initialStatus = this.host.quarantine.statusOf(this.request.caller.fingerprint, Date.now())
    const maximumSends = initialStatus.kind === 'suspect' ? 1 : maximumAttempts
    for (let sent = 0; sent < maximumSends; sent += 1) {
      const status = this.host.quarantine.statusOf(this.request.caller.fingerprint, Date.now())
      if (status.kind === 'quarantined') return this.quarantined(status.until)
      const upstream = this.choose(status.kind === 'suspect')
      if (upstream === undefined || (sent > 0 && !this.mayRetry())) return this.finalFailure()
      const step = await this.send(upstream, status.kind === 'suspect')
      if (step.kind === 'over') return step.failure
      if (this.request.signal.aborted) return this.finalFailure()
    }
    return this.finalFailure()
  }

  private choose (suspect: boolean): UpstreamView | undefined {
    const { caller, configuration } = this.request
    const demand: UpstreamRequirements = { service: caller.service, weights: this.acceptableWeights(), prefix: caller.prefix, suspectFingerprint: suspect ? caller.fingerprint : '' }
    const candidates = candidatesOf(this.host.upstreams.views, demand, configuration, this.tried)
    const isRetry = this.tried.size > 0
    const usable = candidates.filter(view => !isRetry || (suspect ? view.load === 0 : hasFreeSlot(view)))
    return chooseUpstream(usable, demand, this.host.place, this.host.policy)
  }

  /** Acceptable weights by digest, the newest intent first; once a token was forwarded, only those that started the answer. Undefined for a plain service. */
  private acceptableWeights (): readonly string[] | undefined {
    const { caller, configuration } = this.request
    if (caller.model === undefined) return undefined
    if (this.tracker.progress.next > 0) return [this.tracker.progress.weights]
    const { revisions } = this.host.state
    return intentsOf(configuration, revisions, caller.service, caller.organisation).map(({ manifest }) => manifest)
  }

  private mayRetry (): boolean {
    const { caller, organisation } = this.request
    if (!this.host.firstByteTracker.canMeet(caller.service, caller.deadline, Date.now())) return false
    return this.host.budget.take(caller.organisation, organisation.retriesPerSecond, Date.now())
  }

  private async send (upstream: UpstreamView, suspect: boolean): Promise<Step> {
    const { caller, organisation, receivedAt, response, signal, traceParent } = this.request
    const { instance, dataCentre, weights } = upstream.status
    this.tried.add(instance)
    this.tracker.progress = { ...this.tracker.progress, weights }
    const sentAt = Date.now()
    const organisationClass = organisation.priority
    const result = await attempt(this.host, { caller, receivedAt, priority: organisation.priority, organisationClass, upstream, suspect, traceParent, response, signal, tracker: this.tracker })
    this.host.journal.recordAttempt(caller.id, { instance, dataCentre, sentAt, result: describeResult(result) })
    this.host.metrics.count('attempts_total', { service: caller.service, result: describeResult(result) })
    if (result.kind === 'answered' && caller.model === undefined) this.host.firstByteTracker.record(caller.service, Date.now() - sentAt, Date.now())
    return await this.handleResult(upstream, result)
  }

  private async handleResult (upstream: UpstreamView, result: AttemptResult): Promise<Step> {
    if (result.kind === 'answered') return over(undefined)
    if (result.kind === 'lost') return await this.handleLoss(upstream, result)
    const { failure, claimHolder } = result
    if (failure.tag === 'claim-lost' && claimHolder !== '') return await this.followClaim(claimHolder)
    if (failure.outcome !== 'not-run') return over(failure)
    this.retryTimes.push(failure.retryAt)
    this.refusal = failure
    return retriedTags.has(failure.tag) ? nextUpstream : over(this.finalFailure())
  }

  private async handleLoss (upstream: UpstreamView, result: Extract<AttemptResult, { kind: 'lost' }>): Promise<Step> {
    const { caller, signal } = this.request
    if (signal.aborted && !caller.nonIdempotent) {
      this.isLost = true
      return over(this.finalFailure())
    }
    const resolution = await resolveLostRequest(this.host, caller, upstream, result, this.tracker.progress.next > 0)
    this.isLost ||= resolution.kind === 'elsewhere' && resolution.mayHaveRun
    log.warn('the answer of an upstream was lost', { request: caller.id, instance: upstream.status.instance, reason: result.reason, tokens: this.tracker.progress.next, resolution: resolution.kind, milliseconds: Date.now() - this.request.receivedAt })
    return this.applyResolution(resolution, upstream.status.instance)
  }

  /** Sends the request to the agent that holds the claim of its key, or asks that agent for the outcome: no other agent may run it. */
  private async followClaim (holder: string): Promise<Step> {
    const { caller } = this.request
    const upstream = this.host.upstreams.find(holder)
    if (upstream !== undefined && !this.tried.has(upstream.status.instance)) {
      const step = await this.send(upstream, false)
      if (step.kind === 'over' && step.failure?.outcome !== 'not-run') return step
    }
    const resolution = await resolveByOutcome(this.host, caller, holder, { requestId: '', key: claimKey(caller.organisation, caller.service, caller.operation, caller.idempotencyKey), incarnation: '' })
    if (resolution.kind === 'elsewhere') return over(createFailure('claim-lost', addRetryJitter(Date.now(), caller.id), 'not-run'))
    if (resolution.kind === 'failed' && resolution.failure.tag === 'upstream-lost') return over(createFailure('claim-lost', resolution.failure.retryAt))
    return this.applyResolution(resolution, upstream?.status.instance ?? '')
  }

  private applyResolution (resolution: Resolution, instance: string): Step {
    if (resolution.kind === 'elsewhere') return nextUpstream
    if (resolution.kind === 'failed') return over(resolution.failure)
    sendPlainAnswer(this.request.response, this.request.caller.id, { status: resolution.reply.status, contentType: undefined, body: resolution.reply.answer }, instance)
    return over(undefined)
  }

  private quarantined (until: number): Failure {
    return createFailure('quarantined', until, this.isLost ? 'unknown' : 'not-run')
  }

  /** Failure after the last attempt: the request was lost, or refused with the earliest retry time that upstreams reported. */
  private finalFailure (): Failure {
    const { caller } = this.request
    const now = Date.now()
    const retryAt = addRetryJitter(earliestRetry(this.retryTimes, now + retryDelayMilliseconds), caller.id)
    if (this.isLost) return createFailure(now >= caller.deadline ? 'deadline-passed' : 'upstream-lost', retryAt)
    return createFailure(this.refusal?.tag ?? this.noUpstreamTag(), retryAt, 'not-run')
  }

  /** Failure tag when no upstream could be chosen. */
  private noUpstreamTag (): FailureTag {
    const weights = this.acceptableWeights()
    const served = this.host.upstreams.statuses.some(status => weights?.includes(status.weights) === true)
    return weights !== undefined && !served ? 'no-weights' : 'busy'
  }
}

function over (failure: Failure | undefined): Step {
  return { kind: 'over', failure }
}

function describeResult (result: AttemptResult): string {
  if (result.kind === 'answered') return 'answered'
  return result.kind === 'lost' ? `lost-${result.reason}` : result.failure.tag
}
