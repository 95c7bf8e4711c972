/** Operators' records as one entry knows them: configuration, evacuations and named weights. */
import { mergeNamedVersion } from '../../core/weights/named-versions.js'
import { rolloutFactsOf } from '../../core/weights/rollout-facts.js'
import { firstVersion, minimumVersionAt, withdrawalAt } from '../../core/weights/start-cutoffs.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { LogPosition } from '../../core/log-position.js'
import { rankedServices } from '../../core/dispatch/service-profile.js'
import { buildRouteTable, type RouteTable } from '../../core/fleet/match-route.js'
import { transferMilliseconds } from '../../nodes/read-metrics.js'
import type { RolloutFacts, Service } from '../../types/fleet.js'
import type { GossipedWeights, ReportedFacts } from '../../types/node-messages.js'
import type { KeyedRecord, RecordCodec, RecordRead } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('configuration')

/** Smallest correction of the time of a named version that is logged, milliseconds: the delay of messages is below it. */
const loggedCorrectionMilliseconds = 250

/** Configuration, evacuations and named weights in force. */
export class FleetState {
  private routeTable: RouteTable | undefined
  /** When it came into force, milliseconds of the monotonic clock. */
  private inForceAt = 0
  /** Facts of the configuration in force, by service. */
  private readonly facts = new Map<string, RolloutFacts>()
  /** Services for which callers of different priorities compete. */
  private ranked: ReadonlySet<string> = new Set()
  private readonly evacuated = new Set<string>()
  private readonly named = new Map<string, readonly NamedVersion[]>()

  constructor (private readonly codec: RecordCodec, private readonly weightsMilliseconds: number, private readonly changed: () => void) {}

  /** Routes of the configuration in force; undefined before the first. */
  get table (): RouteTable | undefined {
    return this.routeTable
  }

  service (name: string): Service | undefined {
    return this.routeTable?.configuration.services.get(name)
  }

  /** Whether callers of different priorities compete for a service. */
  isRanked (service: string): boolean {
    return this.ranked.has(service)
  }

  /** Facts for the agents of a service; undefined before the first configuration. */
  rolloutFacts (service: string): ReportedFacts | undefined {
    if (this.routeTable === undefined) return undefined
    const facts = this.facts.get(service) ?? rolloutFactsOf(this.routeTable.configuration, service)
    this.facts.set(service, facts)
    return { ...facts, ageMilliseconds: Math.round(monotonicNow() - this.inForceAt) }
  }

  isEvacuated (dataCentre: string): boolean {
    return this.evacuated.has(dataCentre)
  }

  /** Applies an operator's record. `isFirst` marks one read at the start: its age is unknown, so named weights are required at once. */
  put (record: KeyedRecord, isFirst: boolean, read: RecordRead): void {
    const decoded = this.codec.operatorRecord(record.key, record.value)
    if (decoded.kind === 'evacuation') this.putEvacuation(decoded.dataCentre, record.value !== undefined, record)
    else if (decoded.kind === 'configuration') this.putConfiguration(decoded.configuration, record, read)
    else if (decoded.kind === 'weights') this.recordNamedVersion(decoded.weights.model, decoded.weights.version, isFirst ? undefined : 0)
    else log.warn('operator record ignored', { key: record.key, offset: record.offset, era: record.era, reason: decoded.reason })
  }

  /** Merges named weights that another entry knows. */
  mergeWeights (received: readonly GossipedWeights[]): void {
    for (const { model, version, ageMilliseconds } of received) this.recordNamedVersion(model, version, ageMilliseconds)
  }

  /** Named weights, each with the time since it was first known, where that is known, for gossip. */
  get weights (): readonly GossipedWeights[] {
    const now = monotonicNow()
    return [...this.named].flatMap(([model, named]) => named.map(({ version, since, isAgeUnknown }) => ({ model, version, ageMilliseconds: isAgeUnknown === true ? undefined : Math.round(now - since) })))
  }

  /** Lowest version on which a request for a model may be sent now. */
  minimumVersion (model: string): number {
    return Math.max(firstVersion, minimumVersionAt(this.named.get(model) ?? [], this.weightsMilliseconds, monotonicNow()))
  }

  /** When a request that has not begun on a version is withdrawn from its upstream, milliseconds of the monotonic clock; undefined while no newer one is named. */
  withdrawalAt (model: string, version: number): number | undefined {
    return withdrawalAt(this.named.get(model) ?? [], version, this.weightsMilliseconds)
  }

  private recordNamedVersion (model: string, version: number, ageMilliseconds: number | undefined): void {
    const known = this.named.get(model) ?? []
    const merged = mergeNamedVersion(known, { version, ageMilliseconds }, this.weightsMilliseconds, monotonicNow())
    this.named.set(model, merged)
    if (merged === known) return
    const before = known.find(named => named.version === version)
    const age = Math.round(ageMilliseconds ?? -1)
    if (before !== undefined) {
      this.logCorrection(model, version, age, before)
      return
    }
    log.info('new weights version named', { model, version, ageMilliseconds: age })
    this.changed()
  }

  /** Logs a known time that has been corrected; -1 stands for an age that was not known. */
  private logCorrection (model: string, version: number, ageMilliseconds: number, before: NamedVersion): void {
    const previousMilliseconds = before.isAgeUnknown === true ? -1 : Math.round(monotonicNow() - before.since)
    if (previousMilliseconds >= 0 && ageMilliseconds - previousMilliseconds < loggedCorrectionMilliseconds) return
    log.info('age of a named weights version corrected', { model, version, ageMilliseconds, previousMilliseconds })
  }

  private putConfiguration (configuration: RouteTable['configuration'], position: LogPosition, { source, cost }: RecordRead): void {
    const inForce = this.routeTable?.configuration.version
    if (inForce !== undefined && configuration.version <= inForce) {
      log.warn('configuration ignored: its version is not newer than the one in force', { version: configuration.version, inForce, offset: position.offset, era: position.era })
      return
    }
    this.routeTable = buildRouteTable(configuration)
    this.inForceAt = monotonicNow()
    this.facts.clear()
    this.ranked = rankedServices(configuration)
    log.info('new configuration in force', {
      version: configuration.version,
      previousVersion: inForce ?? 0,
      offset: position.offset,
      era: position.era,
      routes: configuration.routes.length,
      organisations: configuration.organisations.length,
      source,
      readMilliseconds: Math.round(transferMilliseconds(cost)),
      bytes: cost.bytes
    })
    this.changed()
  }

  private putEvacuation (dataCentre: string, isOut: boolean, position: LogPosition): void {
    if (isOut) this.evacuated.add(dataCentre)
    else this.evacuated.delete(dataCentre)
    log.info(isOut ? 'data centre evacuated: its upstreams get no new requests' : 'evacuation of a data centre ended: its upstreams get requests again', { dataCentre, offset: position.offset, era: position.era })
    this.changed()
  }
}
