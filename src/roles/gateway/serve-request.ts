/** Serves callers' requests: routes them, reads their bodies, and dispatches or refuses them. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { isRepeatable } from '../../core/dispatch/next-step.js'
import { fingerprintRequest, traitsOf, withBegunParts } from '../../core/dispatch/request-traits.js'
import { RouteDurations } from '../../core/dispatch/route-durations.js'
import { ServiceRanks } from '../../core/dispatch/rank.js'
import type { OrderedRequest } from '../../core/dispatch/service-order.js'
import { mayTakeWhileStopping } from '../../core/dispatch/stop-admission.js'
import { chooseRetryAt } from '../../core/dispatch/caller-retry.js'
import { matchRoute, routeRequest } from '../../core/fleet/match-route.js'
import { createFailure, type FailureTag } from '../../errors.js'
import type { FleetConfiguration, Organisation, Route, Service } from '../../types/fleet.js'
import type { CallerRequest } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { crashFailure } from './call-evidence.js'
import { CallerAnswer } from './caller-answer.js'
import { RequestDispatch } from './dispatch-request.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'
import { readBody } from './read-body.js'

const log = logFor('requests')

/** A request whose caller timeout is below this share of the longest one on its route is a retry; the timeouts of first attempts differ by some 15%. */
const firstAttemptTimeoutShare = 0.82

/** Traits of a refused request that are logged. */
const maximumLoggedTraits = 10

/** Serves requests until their final answer. */
export class RequestServer {
  private readonly durations = new RouteDurations()
  /** Ranks of the configuration that was last used. */
  private ranks: { readonly configuration: FleetConfiguration, readonly ranks: ServiceRanks } | undefined
  /** Longest caller timeout received on each route, which is that of first attempts, milliseconds. */
  private readonly longestCallerTimeout = new Map<string, number>()

  constructor (private readonly context: ServingContext) {}

  /** Serves one request; resolves once it is answered, refused or abandoned by its caller. */
  async serve (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = monotonicNow()
    const { requests, state, metrics } = this.context
    const caller = requests.callerRequest(incoming)
    const answer = new CallerAnswer(response, requests, () => this.context.stopTimes() !== undefined)
    const table = state.table
    if (table === undefined) {
      this.refuse(answer, caller, 'no-configuration', arrivedAt, undefined)
      return
    }
    const match = matchRoute(table, caller.host, caller.target, caller.key)
    if (match.kind !== 'match') {
      this.refuse(answer, caller, this.denialOf(match.kind), arrivedAt, undefined)
      return
    }
    const body = await readBody(incoming, table.configuration.limits.bodyBytes, arrivedAt + Math.min(caller.timeoutMilliseconds ?? Infinity, match.route.timeoutMilliseconds))
    if (body.kind === 'aborted') return
    if (body.kind !== 'complete') {
      this.refuse(answer, caller, body.kind === 'late' ? 'out-of-time' : 'too-large', arrivedAt, undefined)
      return
    }
    // The configuration may have changed while the body arrived; the route of the earlier one may lead to a service that is gone.
    const routed = routeRequest(state.table ?? table, caller)
    if (routed.kind !== 'match') {
      this.refuse(answer, caller, this.denialOf(routed.kind), arrivedAt, undefined)
      return
    }
    const request = this.createRoutedRequest(caller, incoming, routed, body.bytes, arrivedAt)
    metrics.count('requests_total', { route: routed.route.name })
    this.context.budget.recordRequest(routed.service.name, arrivedAt)
    const crashing = crashFailure(this.context.suspects, request.traits, 0)
    if (crashing !== undefined) this.refuse(answer, caller, crashing, arrivedAt, request)
    else if (!this.endsBeforeStop(request)) this.refuse(answer, caller, 'leaving', arrivedAt, request)
    else {
      response.on('finish', () => { this.durations.recordEnd(routed.route.name, arrivedAt, monotonicNow()) })
      await new RequestDispatch(this.context, request, answer, response).run()
    }
  }

  private endsBeforeStop ({ route, arrivedAt, deadline }: RoutedRequest): boolean {
    const stopTimes = this.context.stopTimes()
    if (stopTimes === undefined) return true
    return mayTakeWhileStopping(stopTimes, { arrivedAt, deadline, usualEnd: this.durations.usualEnd(route.name, arrivedAt), isRepeatable: isRepeatable(route) })
  }

  private createRoutedRequest (caller: CallerRequest, incoming: IncomingMessage, routed: { readonly route: Route, readonly organisation: Organisation | undefined, readonly service: Service }, body: Buffer, arrivedAt: number): RoutedRequest {
    const { route, organisation, service } = routed
    const callerTimeout = caller.timeoutMilliseconds ?? route.timeoutMilliseconds
    const deadline = arrivedAt + Math.min(callerTimeout, route.timeoutMilliseconds)
    const longestTimeout = Math.max(callerTimeout, this.longestCallerTimeout.get(route.name) ?? 0)
    this.longestCallerTimeout.set(route.name, longestTimeout)
    const isLate = callerTimeout < longestTimeout * firstAttemptTimeoutShare
    return {
      caller,
      incoming,
      route,
      organisation,
      service,
      model: service.engine === undefined ? undefined : caller.model ?? service.engine.models[0] ?? '',
      body,
      arrivedAt,
      traits: withBegunParts(traitsOf(fingerprintRequest(caller.method, caller.target, organisation?.name ?? '', body), service.name, caller.promptParts)),
      deadline,
      callerDeadline: arrivedAt + callerTimeout,
      isLate,
      order: this.orderOf(caller, routed, isLate, deadline)
    }
  }

  /** What orders a request among others; undefined in a service that is not ranked. */
  private orderOf (caller: CallerRequest, { route, organisation, service }: Pick<RoutedRequest, 'route' | 'organisation' | 'service'>, isLate: boolean, deadline: number): OrderedRequest | undefined {
    const { state, profileOfService } = this.context
    const configuration = state.table?.configuration
    if (configuration === undefined || !profileOfService(service.name).isRanked) return undefined
    if (this.ranks?.configuration !== configuration) this.ranks = { configuration, ranks: new ServiceRanks(configuration) }
    return {
      rank: this.ranks.ranks.of(service.name, route, organisation),
      organisation: organisation?.name ?? '',
      share: organisation?.share ?? 1,
      work: caller.promptTokens + caller.maximumAnswerTokens,
      isRetry: isLate,
      deadline
    }
  }

  /** What a request is refused with that the configuration does not allow: a newer one that is known of may allow it. */
  private denialOf (tag: FailureTag): FailureTag {
    return this.context.lacksRecords() ? 'old-configuration' : tag
  }

  /** Refuses a request that was not dispatched. */
  private refuse (answer: CallerAnswer, caller: CallerRequest, tag: FailureTag, now: number, request: RoutedRequest | undefined): void {
    answer.fail(createFailure(tag), this.retryAfter(tag, caller, now))
    this.context.metrics.count('refusals_total', { reason: tag })
    log.info('request refused before dispatch', { id: caller.id, reason: tag, host: caller.host, target: caller.target, configuration: this.context.state.table?.configuration.version ?? 0, service: request?.service.name ?? '', traits: request?.traits.slice(0, maximumLoggedTraits).join(' ') ?? '' })
  }

  /** Milliseconds after which a refused caller should retry: at once where only this entry leaves, later while it lacks a configuration; undefined if a retry is of no use. */
  private retryAfter (tag: FailureTag, caller: CallerRequest, now: number): number | undefined {
    if (tag === 'leaving') return 0
    if (tag !== 'no-configuration' && tag !== 'old-configuration') return undefined
    return chooseRetryAt(now, now + (caller.timeoutMilliseconds ?? 1000), Infinity, this.context.random) - now
  }
}
