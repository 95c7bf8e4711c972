/** UDP messages between nodes. They are JSON arrays without field names, to be short, since many of them cross regions. */
import { createSocket, type Socket } from 'node:dgram'
import { isIPv4 } from 'node:net'
import type { GossipedLimit } from '../core/dispatch/named-limits.js'
import type { Member } from '../core/fleet/members.js'
import type { Gossip, GossipedEvidence, GossipedWeights, Holdings, Introduction, LoadReport, NodeMessage, PaceReport, PermitAnswer, PermitRequest, ReportedFacts, SlotOrder, SlotRelease, SlotReply, SlotRequest, Subscription } from '../types/node-messages.js'
import type { VouchedLoad } from '../types/fleet.js'
import { logFor } from '../utils/log.js'
import { decodeEraReport, encodeEraReports } from './era-codec.js'

const log = logFor('members')

type Fields = readonly unknown[]

/** A UDP socket that sends and receives messages between nodes. */
export class DatagramSocket {
  private readonly socket: Socket = createSocket('udp4')

  constructor (private readonly port: number, private readonly receive: (message: NodeMessage, ip: string) => void) {}

  /** Binds the socket; rejects if the address is not available. */
  open (ip: string): Promise<void> {
    this.socket.on('message', (bytes, sender) => {
      const message = decodeMessage(bytes.toString())
      if (message === undefined) log.warn('received a datagram that cannot be decoded', { sender: sender.address, bytes: bytes.length })
      else this.receive(message, sender.address)
    })
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(this.port, ip, () => {
        this.socket.off('error', reject)
        this.socket.on('error', error => { log.warn('the datagram socket failed', { reason: String(error) }) })
        resolve()
      })
    })
  }

  /** Sends a message without a guarantee of delivery; a lost one is superseded by the next, which carries newer state. */
  send (message: NodeMessage, ip: string): void {
    this.sendToAll(message, [ip])
  }

  /** Sends a message to several nodes, see `send`; it is encoded once. */
  sendToAll (message: NodeMessage, ips: readonly string[]): void {
    const bytes = Buffer.from(encodeMessage(message))
    for (const ip of ips) this.socket.send(bytes, this.port, ip)
  }

  close (): void {
    this.socket.close()
  }
}

/** Encodes a message as a JSON array: its kind, then its fields by position. */
export function encodeMessage (message: NodeMessage): string {
  return JSON.stringify([message.kind, ...encodeFields(message)])
}

/** Decodes a message; undefined if the text is not a valid one. */
export function decodeMessage (text: string): NodeMessage | undefined {
  try {
    const [kind, ...fields] = JSON.parse(text) as Fields
    const decode = typeof kind === 'string' && Object.hasOwn(decoders, kind) ? decoders[kind as NodeMessage['kind']] : undefined
    return decode?.(fields)
  } catch {
    return undefined
  }
}

function encodeFields (message: NodeMessage): Fields {
  switch (message.kind) {
    case 'gossip': return [encodeMember(message.sender), message.others.map(encodeMember), message.operatorsNext.offset, message.instancesNext.offset, encodeWeights(message.weights), [], message.limits.map(encodeLimit), message.leaving.map(({ upstreamId, startedAt }) => [upstreamId, startedAt]), [message.operatorsNext.era, message.instancesNext.era], ...encodeEraReports([message.operatorsEras, message.instancesEras])]
    case 'crash-evidence': return [message.suspicions.map(({ trait, ends, refusedAgeMilliseconds, isBlocked }) => [trait, ends, refusedAgeMilliseconds, isBlocked]), message.healthy]
    case 'permit-request': return [message.number, encodeLimit(message.limit)]
    case 'permit-answer': return [message.number, encodeLimit(message.limit), message.retryInMilliseconds]
    case 'slot-request': return [message.number, message.limit, ...encodeOptional(message)]
    case 'slot-reply': return [message.number, message.load, message.isGranted, ...message.pace === undefined ? [] : [message.pace.value, message.pace.ageMilliseconds]]
    case 'slot-release': return [message.number]
    case 'pace': return [message.startedAt, message.pace]
    case 'subscription': return [message.dataCentre, message.service, encodeWeights(message.weights), message.agents, encodeFacts(message.rollout), encodeVouched(message.vouched)]
    case 'introduction': return [message.service]
    case 'load': return [message.startedAt, message.running, message.waiting, message.model, message.version, message.isSwapping, message.readyInMilliseconds, ...message.orders === undefined ? [] : [message.orders]]
    case 'holdings': return [message.dataCentre, message.model, message.version, message.held, message.heldInDataCentre, message.served, message.isSwapping]
  }
}

function encodeMember (member: Member): Fields {
  return [member.instance, member.ip, member.callers, member.dataCentre, member.region, member.incarnation, member.beat, member.isReady, member.logDelayMilliseconds]
}

/** An unknown age becomes -1. */
function encodeWeights (weights: readonly GossipedWeights[]): Fields {
  return weights.map(({ model, version, ageMilliseconds }) => [model, version, ageMilliseconds ?? -1])
}

/** A lifted limit becomes -1. */
function encodeLimit ({ upstreamId, startedAt, perSecond, ageMilliseconds }: GossipedLimit): Fields {
  return [upstreamId, startedAt, perSecond ?? -1, ageMilliseconds]
}

/** Facts that are not sent become an empty list; a configuration without an origin, an empty address. */
function encodeFacts (facts: ReportedFacts | undefined): Fields {
  if (facts === undefined) return []
  const { configurationVersion, ageMilliseconds, models, chunkCount, chunkBytes, origin, isResumable } = facts
  return [configurationVersion, ageMilliseconds, models, chunkCount, chunkBytes, origin?.address ?? '', origin?.bytesPerSecond ?? 0, isResumable]
}

/** The fields of a request for a slot that only some services send. */
function encodeOptional ({ order, coldLimit }: SlotRequest): Fields {
  const encodedOrder = order === undefined ? [] : encodeOrder(order)
  if (coldLimit !== undefined) return [encodedOrder, coldLimit]
  return order === undefined ? [] : [encodedOrder]
}

function encodeOrder ({ rank, organisation, share, work, isRetry, remainingMilliseconds }: SlotOrder): Fields {
  return [rank, organisation, share, work, isRetry, remainingMilliseconds]
}

function decodeOrder (fields: Fields): SlotOrder {
  checkTypes(fields, ['number', 'string', 'number', 'number', 'boolean', 'number'])
  const [rank, organisation, share, work, isRetry, remainingMilliseconds] = fields as [number, string, number, number, boolean, number]
  return { rank, organisation, share, work, isRetry, remainingMilliseconds }
}

/** Nothing becomes an empty list. */
function encodeVouched (vouched: VouchedLoad | undefined): Fields {
  return vouched === undefined ? [] : [vouched.startedAt, vouched.orders, vouched.version]
}

/** Type of a field: the result of `typeof`, or `list` for arrays. */
type FieldType = 'string' | 'number' | 'boolean' | 'list'

const memberTypes: readonly FieldType[] = ['string', 'string', 'string', 'string', 'string', 'number', 'number', 'boolean', 'number']

function decodeMember (fields: unknown): Member {
  checkTypes(fields, memberTypes)
  const [instance, ip, callers, dataCentre, region, incarnation, beat, isReady, logDelayMilliseconds] = fields as [string, string, string, string, string, number, number, boolean, number]
  checkIp(ip)
  return { instance, ip, callers, dataCentre, region, incarnation, beat, isReady, logDelayMilliseconds }
}

function decodeLimit (fields: unknown): GossipedLimit {
  checkTypes(fields, ['string', 'number', 'number', 'number'])
  const [upstreamId, startedAt, perSecond, ageMilliseconds] = fields as [string, number, number, number]
  return { upstreamId, startedAt, perSecond: perSecond < 0 ? undefined : perSecond, ageMilliseconds: Math.max(0, ageMilliseconds) }
}

function decodeWeights (list: Fields): readonly GossipedWeights[] {
  return list.map(fields => {
    checkTypes(fields, ['string', 'number', 'number'])
    const [model, version, ageMilliseconds] = fields as [string, number, number]
    return { model, version, ageMilliseconds: ageMilliseconds < 0 ? undefined : ageMilliseconds }
  })
}

function decodeSuspicion (fields: Fields): GossipedEvidence['suspicions'][number] {
  checkTypes(fields, ['string', 'list', 'number', 'boolean'])
  const [trait, ends, refusedAgeMilliseconds, isBlocked] = fields as [string, Fields, number, boolean]
  return { trait, ends: decodeAges(ends), refusedAgeMilliseconds, isBlocked }
}

/** Decodes names with a time since something happened to each. */
function decodeAges (list: Fields): readonly (readonly [string, number])[] {
  return list.map(fields => {
    checkTypes(fields, ['string', 'number'])
    const [name, ageMilliseconds] = fields as [string, number]
    return [name, Math.max(0, ageMilliseconds)]
  })
}

function decodeAgents (list: Fields): Subscription['agents'] {
  return list.map(fields => {
    checkTypes(fields, ['string', 'string'])
    const [dataCentre, ip] = fields as [string, string]
    checkIp(ip)
    return [dataCentre, ip]
  })
}

function decodeFacts (fields: Fields): ReportedFacts | undefined {
  if (fields.length === 0) return undefined
  checkTypes(fields, ['number', 'number', 'list', 'number', 'number', 'string', 'number', 'boolean'])
  const [configurationVersion, ageMilliseconds, models, chunkCount, chunkBytes, address, bytesPerSecond, isResumable] = fields as [number, number, readonly string[], number, number, string, number, boolean]
  checkTypes(models, models.map(() => 'string'))
  return { configurationVersion, ageMilliseconds, models, chunkCount, chunkBytes, origin: address === '' ? undefined : { address, bytesPerSecond }, isResumable }
}

function decodeVouched (fields: Fields): VouchedLoad | undefined {
  if (fields.length === 0) return undefined
  checkTypes(fields, ['number', 'number', 'number'])
  const [startedAt, orders, version] = fields as [number, number, number]
  return { startedAt, orders, version }
}

/** Throws for a text that is no IPv4 address: sending to it would look up a name. */
function checkIp (ip: string): void {
  if (!isIPv4(ip)) throw new TypeError('not an IP')
}

/** Throws unless `fields` is an array that starts with fields of the given types. */
function checkTypes (fields: unknown, types: readonly FieldType[]): void {
  if (!Array.isArray(fields)) throw new TypeError('not a list')
  const wrong = types.findIndex((type, index) => type !== (Array.isArray(fields[index]) ? 'list' : typeof fields[index]))
  if (wrong !== -1) throw new TypeError(`field ${wrong} is not a ${types[wrong] ?? ''}`)
}

const decoders: Readonly<Record<NodeMessage['kind'], (fields: Fields) => NodeMessage>> = {
  gossip: fields => {
    checkTypes(fields, ['list', 'list', 'number', 'number', 'list', 'list'])
    // The sixth field was used by earlier versions, which send no limits; of them and of later ones, some do not say which upstreams leave, the eras of their offsets, or what they know of eras.
    const [sender, others, operatorsOffset, instancesOffset, weights, , limits = [], leaving = [], eras = [0, 0], reports = []] = fields as [Fields, readonly Fields[], number, number, Fields, Fields, Fields?, (readonly (readonly [string, number])[])?, (readonly number[])?, Fields?]
    checkTypes(eras, ['number', 'number'])
    const [operatorsEra = 0, instancesEra = 0] = eras
    const [operatorsEras, instancesEras] = reports.map(decodeEraReport)
    return {
      kind: 'gossip',
      sender: decodeMember(sender),
      others: others.map(decodeMember),
      operatorsNext: { era: operatorsEra, offset: operatorsOffset },
      instancesNext: { era: instancesEra, offset: instancesOffset },
      ...operatorsEras === undefined ? {} : { operatorsEras },
      ...instancesEras === undefined ? {} : { instancesEras },
      weights: decodeWeights(weights),
      limits: limits.map(decodeLimit),
      leaving: leaving.map(([upstreamId, startedAt]) => ({ upstreamId, startedAt }))
    } satisfies Gossip
  },
  'crash-evidence': fields => {
    checkTypes(fields, ['list', 'list'])
    const [suspicions, healthy] = fields as [readonly Fields[], Fields]
    return { kind: 'crash-evidence', suspicions: suspicions.map(decodeSuspicion), healthy: decodeAges(healthy) } satisfies GossipedEvidence
  },
  'permit-request': fields => {
    checkTypes(fields, ['number', 'list'])
    const [number, limit] = fields as [number, Fields]
    return { kind: 'permit-request', number, limit: decodeLimit(limit) } satisfies PermitRequest
  },
  'slot-request': fields => {
    checkTypes(fields, ['number', 'number'])
    // Earlier versions send neither; an empty order stands for none.
    const [number, limit, order = [], coldLimit] = fields as [number, number, Fields?, number?]
    const hasColdLimit = typeof coldLimit === 'number' && coldLimit >= 0
    return { kind: 'slot-request', number, limit, ...order.length === 0 ? {} : { order: decodeOrder(order) }, ...hasColdLimit ? { coldLimit } : {} } satisfies SlotRequest
  },
  'slot-reply': fields => {
    checkTypes(fields, ['number', 'number', 'boolean'])
    // Earlier versions send no pace.
    const [number, load, isGranted, value, ageMilliseconds] = fields as [number, number, boolean, number?, number?]
    if (value === undefined || ageMilliseconds === undefined) return { kind: 'slot-reply', number, load, isGranted } satisfies SlotReply
    checkTypes([value, ageMilliseconds], ['number', 'number'])
    return { kind: 'slot-reply', number, load, isGranted, pace: { value, ageMilliseconds } } satisfies SlotReply
  },
  pace: fields => {
    checkTypes(fields, ['number', 'number'])
    const [startedAt, pace] = fields as [number, number]
    return { kind: 'pace', startedAt, pace } satisfies PaceReport
  },
  'slot-release': fields => {
    checkTypes(fields, ['number'])
    const [number] = fields as [number]
    return { kind: 'slot-release', number } satisfies SlotRelease
  },
  'permit-answer': fields => {
    checkTypes(fields, ['number', 'list', 'number'])
    const [number, limit, retryInMilliseconds] = fields as [number, Fields, number]
    return { kind: 'permit-answer', number, limit: decodeLimit(limit), retryInMilliseconds } satisfies PermitAnswer
  },
  subscription: fields => {
    checkTypes(fields, ['string', 'string', 'list', 'list', 'list'])
    // Earlier versions send no vouched load.
    const [dataCentre, service, weights, agents, rollout, vouched = []] = fields as [string, string, Fields, Fields, Fields, Fields?]
    return { kind: 'subscription', dataCentre, service, weights: decodeWeights(weights), agents: decodeAgents(agents), rollout: decodeFacts(rollout), vouched: decodeVouched(vouched) } satisfies Subscription
  },
  introduction: fields => {
    checkTypes(fields, ['string'])
    const [service] = fields as [string]
    return { kind: 'introduction', service } satisfies Introduction
  },
  load: fields => {
    checkTypes(fields, ['number', 'number', 'number', 'string', 'number', 'boolean', 'number'])
    const [startedAt, running, waiting, model, version, isSwapping, readyInMilliseconds, orders] = fields as [number, number, number, string, number, boolean, number, number?]
    if (orders !== undefined) checkTypes([orders], ['number'])
    return { kind: 'load', startedAt, orders, running, waiting, model, version, isSwapping, readyInMilliseconds } satisfies LoadReport
  },
  holdings: fields => {
    checkTypes(fields, ['string', 'string', 'number', 'string', 'string', 'number', 'boolean'])
    const [dataCentre, model, version, held, heldInDataCentre, served, isSwapping] = fields as [string, string, number, string, string, number, boolean]
    return { kind: 'holdings', dataCentre, model, version, held, heldInDataCentre, served, isSwapping } satisfies Holdings
  }
}
