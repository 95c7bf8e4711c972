/** The platform adapter decodes valid settings, records, headers and frames, and rejects invalid ones. */
import type { IncomingMessage } from 'node:http'
import { test } from 'tap'
import { decodeDirectoryQuery, encodeDirectoryAnswer } from '../platform/directory.js'
import { frameRecord, parseRead } from '../platform/framing.js'
import { decodeReport, PlatformRecords } from '../platform/records.js'
import { PlatformRequests } from '../platform/requests.js'
import { decodeSettings } from '../platform/settings.js'
import { FindingsError } from '../src/errors.js'

const records = new PlatformRecords()
const requests = new PlatformRequests()
const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value))

const server = { service: 'model-a', address: '10.0.0.9:8080', zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', 'cold-left-ms': 0, 'model-list': [{ name: 'weights-a', version: 1 }], layers: { from: 0, target: 16, version: 1 }, sequence: 4, born: 1000 }
const upstream = { id: 'i-1', service: 'model-a', address: '10.0.0.9:8080', dataCentre: 'zone-a', slots: 16, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true }

const instances: readonly { readonly name: string, readonly value: unknown, readonly expected: object }[] = [
  { name: 'a server', value: server, expected: upstream },
  { name: 'a draining server', value: { ...server, state: 'draining' }, expected: { ...upstream, isDraining: true } },
  { name: 'a server without weights', value: { ...server, 'model-list': [] }, expected: { ...upstream, weights: undefined } },
  { name: 'a plain server', value: { ...server, 'model-list': undefined, layers: undefined }, expected: { ...upstream, weights: undefined, isEngine: false } },
  { name: 'an unknown field', value: { ...server, colour: 'red' }, expected: upstream },
  { name: 'an unknown state', value: { ...server, state: 'resting' }, expected: { reason: 'state is neither ready nor draining' } },
  { name: 'an address of another type', value: { ...server, address: 7 }, expected: { reason: 'service, address or zone is missing' } },
  { name: 'an address without a port', value: { ...server, address: 'nowhere' }, expected: { reason: 'address is not an IPv4 address and port' } },
  ...['127.0.0.1:99999', '127.0.0.1:0', `127.0.0.1:${'9'.repeat(40)}`, '999.1.1.1:80', '1.2.3:80', '10.0.0.9:80:80', '10.0.0.9:+80'].map(address => (
    { name: `the address ${address}, which cannot be connected to`, value: { ...server, address }, expected: { reason: 'address is not an IPv4 address and port' } })),
  ...[-5, 0.3, 1e300].map(slots => ({ name: `${slots} slots`, value: { ...server, slots }, expected: { reason: 'slots is no number of requests' } })),
  { name: 'slots of another type', value: { ...server, slots: 'many' }, expected: { reason: 'slots, cold-left-ms or sequence is not a number' } },
  { name: 'models of another type', value: { ...server, 'model-list': 'weights-a' }, expected: { reason: 'model-list is not a list' } },
  { name: 'a list', value: [server], expected: { reason: 'not a JSON object' } }
]

for (const { name, value, expected } of instances) {
  test(`instance record: ${name}`, async t => { t.match(records.upstream('i-1', encode(value)), expected) })
}

test('instance record: invalid JSON', async t => { t.same(records.upstream('i-1', Buffer.from([0xff, 0x00])), { reason: 'not a JSON object' }) })

const route = { name: 'r-1', host: 'one.example', 'path-prefix': '/a/', 'route-type': 'stream', 'timeout-ms': 6000, 'latency-goal-ms': 400, priority: 1, service: 'model-a', 'max-attempts': 2, public: false, resumable: true, 'gap-target-ms': 400, 'allowed-regions': ['north'] }
const configuration = {
  version: 7,
  routes: [route, { ...route, name: 'r-2', service: undefined, split: [{ service: 'model-a', weight: 90 }, { service: 'model-b', weight: 10 }] }, { name: 'broken' }],
  services: [{ name: 'model-a', 'max-conns': 434, 'cold-start-s': 3, 'cold-per-s': 36, 'engine-config': { slots: 16, layers: 16, chunks: 96, 'chunk-bytes': 24576, 'model-list': [{ name: 'weights-a' }], step_ms: 9.27, read_per_s: 20700, stride: 5, usual: { prompt: 979, answer: 92 } } }, { name: 'origin-a', origin: '10.0.0.3:8006', 'link-mbps': 8 }],
  limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4096, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 },
  tenants: [{ name: 'organisation-a', 'api-keys': ['key-a'], priority: 1, 'allowed-regions': [] }]
}

test('operator record: a configuration is decoded without its malformed route', async t => {
  const decoded = records.operatorRecord('config', encode(configuration))
  if (decoded.kind !== 'configuration') throw new Error('no configuration')
  const { routes, services, organisations, limits } = decoded.configuration
  t.same(routes.map(({ name }) => name), ['r-1', 'r-2'])
  t.match(routes[0], { kind: 'stream', isResumable: true, timeoutMilliseconds: 6000, latencyGoalMilliseconds: 400, maximumUpstreams: 2, regions: ['north'], targets: [{ service: 'model-a', weight: 1 }] })
  t.same(routes[1]?.targets, [{ service: 'model-a', weight: 90 }, { service: 'model-b', weight: 10 }])
  t.match(services.get('model-a'), { coldMilliseconds: 3000, coldRequestsPerSecond: 36, engine: { slots: 16, models: ['weights-a'], typicalPromptTokens: 979 } })
  t.same(services.get('origin-a')?.origin, { address: '10.0.0.3:8006', bytesPerSecond: 1_000_000 })
  t.same(organisations, [{ name: 'organisation-a', keys: ['key-a'], priority: 1, regions: [] }])
  t.equal(limits.bodyBytes, 4096)
})

const operatorRecords: readonly { readonly name: string, readonly key: string, readonly value: Buffer | undefined, readonly expected: object }[] = [
  { name: 'an evacuation', key: 'evacuate/zone-a', value: encode({}), expected: { kind: 'evacuation', dataCentre: 'zone-a' } },
  { name: 'named weights', key: 'version/weights-a', value: encode({ 'model-id': 'weights-a', version: 2 }), expected: { kind: 'weights', weights: { model: 'weights-a', version: 2 } } },
  { name: 'named weights without a version', key: 'version/weights-a', value: encode({ 'model-id': 'weights-a' }), expected: { kind: 'unknown', reason: 'model-id or version is missing' } },
  { name: 'a configuration without a version', key: 'config', value: encode({ routes: [] }), expected: { kind: 'unknown' } },
  { name: 'invalid JSON', key: 'config', value: Buffer.from('{'), expected: { kind: 'unknown', reason: 'not a JSON object' } },
  { name: 'an unknown key', key: 'colour', value: encode({}), expected: { kind: 'unknown', reason: 'unknown key' } }
]

for (const { name, key, value, expected } of operatorRecords) {
  test(`operator record: ${name}`, async t => { t.match(records.operatorRecord(key, value), expected) })
}

test('engine report: all fields are decoded', async t => {
  const report = decodeReport({ born: 5, sequence: 2, busy: true, active: 12, queued: 1, 'model-list': [{ name: 'weights-a', version: 3 }], layers: { from: 0, target: 16, version: 3 } })
  t.same(report, { startedAt: 5, orders: 2, isSwapping: true, running: 12, waiting: 1, weights: { model: 'weights-a', version: 3 } })
})

test('frames: records are parsed as they were framed, and a truncated one is left out', async t => {
  const head = Buffer.alloc(16)
  const body = Buffer.concat([head, frameRecord('one', Buffer.from('value')), frameRecord('two', Buffer.alloc(0)), Buffer.from([0, 0, 0, 9, 1])])
  const { records: read, next } = parseRead(body, 40)
  t.same(read.map(({ key, value, offset }) => [key, value?.toString(), offset]), [['one', 'value', 40], ['two', undefined, 41]])
  t.equal(next, 42)
})

const readHeaders: readonly { readonly name: string, readonly end: bigint, readonly first: bigint, readonly expected: { readonly first: number, readonly end: number } | undefined }[] = [
  { name: 'records that follow', end: 60n, first: 12n, expected: { first: 12, end: 60 } },
  { name: 'an end before the records that came', end: 40n, first: 0n, expected: { first: 0, end: 41 } },
  { name: 'a first offset after the end', end: 60n, first: 61n, expected: undefined },
  { name: 'an end that is no number', end: 1n << 60n, first: 0n, expected: undefined }
]

for (const { name, end, first, expected } of readHeaders) {
  test(`frames: header of a read, ${name}`, async t => {
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(end, 0)
    head.writeBigUInt64BE(first, 8)
    const body = Buffer.concat([head, frameRecord('one', Buffer.from('value'))])
    if (expected === undefined) t.throws(() => parseRead(body, 40), /invalid offsets/)
    else t.match(parseRead(body, 40), { ...expected, next: 41 })
  })
}

test('frames: a response shorter than its header is rejected', async t => { t.throws(() => parseRead(Buffer.alloc(3), 0)) })

const callerHeaders = { host: 'One.Example:80', 'x-attempt-id': 'id-1', 'x-deadline-ms': '6033', 'x-token-counts': '1460,80', 'x-prompt-prefix': '5C1e:800,91bd:410, e440:250', authorization: 'Token key-a', 'x-tenant': 'forged', 'last-event-id': '12', connection: 'keep-alive, x-hop', 'x-hop': 'gone', 'x-model': 'weights-a' }
const incoming = { headers: callerHeaders, method: 'POST', url: '/a/b?c' } as unknown as IncomingMessage

test("headers: a caller's request is decoded", async t => {
  t.same(requests.callerRequest(incoming), { id: 'id-1', method: 'POST', target: '/a/b?c', host: 'one.example', key: 'key-a', timeoutMilliseconds: 6033, lastEventId: '12', promptTokens: 1460, maximumAnswerTokens: 80, promptParts: ['5c1e', '91bd', 'e440'], model: 'weights-a' })
})

test('headers: the upstream gets neither the API key, nor a forged organisation, nor hop-by-hop headers', async t => {
  const headers = requests.upstreamHeaders(callerHeaders, { remainingMilliseconds: 512.7, upstreamId: 'i-1', organisation: 'organisation-a', rank: 3, weightsVersion: 2, lastEventId: '12' })
  t.same(headers, { host: 'One.Example:80', 'x-attempt-id': 'id-1', 'x-token-counts': '1460,80', 'x-prompt-prefix': '5C1e:800,91bd:410, e440:250', 'x-model': 'weights-a', 'x-deadline-ms': '512', 'x-expect-instance': 'i-1', 'x-request-priority': '3', 'x-tenant': 'organisation-a', 'x-expect-version': '2', 'last-event-id': '12' })
})

const answerHeads: readonly { readonly name: string, readonly status: number, readonly headers: Record<string, string>, readonly expected: object }[] = [
  { name: 'a signed answer with a load', status: 200, headers: { 'x-server-stamp': 's', 'x-attempt-id': 'id-1', 'x-server-load': '3,1,8' }, expected: { isSigned: true, isNotRun: false, requestId: 'id-1', load: { running: 3, waiting: 1, slots: 8 } } },
  { name: 'a request that was not run', status: 503, headers: { 'x-not-executed': '1' }, expected: { isNotRun: true, isMisdirected: false } },
  { name: 'a rest', status: 503, headers: { 'retry-after': '3' }, expected: { rest: { kind: 'rest', milliseconds: 3000 } } },
  { name: 'a fraction of a second of rest', status: 503, headers: { 'retry-after': '0.25' }, expected: { rest: { kind: 'rest', milliseconds: 250 } } },
  { name: 'no time of rest', status: 503, headers: { 'retry-after': '0' }, expected: { rest: { kind: 'none' } } },
  { name: 'a rest with another status', status: 500, headers: { 'retry-after': '3' }, expected: { rest: { kind: 'none' } } },
  { name: 'a rest until a date', status: 503, headers: { 'retry-after': 'Fri, 04 Dec 2026 10:00:00 GMT' }, expected: { rest: { kind: 'invalid', text: 'Fri, 04 Dec 2026 10:00:00 GMT' } } },
  { name: 'a negative rest', status: 503, headers: { 'retry-after': '-1' }, expected: { rest: { kind: 'invalid', text: '-1' } } },
  { name: 'a rest of an absurd length', status: 503, headers: { 'retry-after': '999999999' }, expected: { rest: { kind: 'invalid', text: '999999999' } } },
  { name: 'an upstream that leaves', status: 200, headers: { 'server-leaving': '1' }, expected: { isLeaving: true } },
  { name: 'an upstream that does not leave', status: 200, headers: { 'server-leaving': '0' }, expected: { isLeaving: false } },
  { name: 'a misdirected request', status: 421, headers: {}, expected: { isNotRun: true, isMisdirected: true } },
  { name: 'an encoded body', status: 200, headers: { 'content-encoding': 'gzip' }, expected: { isEncoded: true } },
  { name: 'a load with a pace', status: 200, headers: { 'x-server-load': '3,1,8,250' }, expected: { load: { running: 3, waiting: 1, slots: 8, pace: 2.5, invalidPace: undefined } } },
  { name: 'a load without a pace', status: 200, headers: { 'x-server-load': '3,1,8' }, expected: { load: { pace: undefined, invalidPace: undefined } } },
  ...['-100', '0', '10001', '1e3', 'fast', '', 'NaN'].map(figure => ({ name: `a load with the invalid pace "${figure}", which leaves the rest valid`, status: 200, headers: { 'x-server-load': `3,1,8,${figure}` }, expected: { load: { running: 3, waiting: 1, slots: 8, pace: undefined, invalidPace: figure } } })),
  { name: 'a malformed load', status: 200, headers: { 'x-server-load': 'much' }, expected: { load: undefined } },
  { name: 'no limit', status: 200, headers: {}, expected: { limit: { kind: 'none' } } },
  { name: 'a limit', status: 200, headers: { 'server-limit': '1.8' }, expected: { limit: { kind: 'limit', perSecond: 1.8 } } },
  { name: 'a limit in a refusal', status: 503, headers: { 'x-not-executed': '1', 'server-limit': '2' }, expected: { limit: { kind: 'limit', perSecond: 2 } } },
  { name: 'a limit of no requests', status: 200, headers: { 'server-limit': '0' }, expected: { limit: { kind: 'limit', perSecond: 0 } } },
  { name: 'two limits, of which the lower one counts', status: 200, headers: { 'server-limit': '3, 1.5' }, expected: { limit: { kind: 'limit', perSecond: 1.5 } } },
  { name: 'a limit and one that cannot be read', status: 200, headers: { 'server-limit': '3, many' }, expected: { limit: { kind: 'invalid', text: '3, many' } } },
  ...['', '-1', '+1', '1e3', 'Infinity', 'NaN', '0x10', '1.2.3', '9'.repeat(400)].map(text => ({ name: `the invalid limit "${text.slice(0, 12)}"`, status: 200, headers: { 'server-limit': text }, expected: { limit: { kind: 'invalid', text: text.slice(0, 40) } } }))
]

for (const { name, status, headers, expected } of answerHeads) {
  test(`answer head: ${name}`, async t => { t.match(requests.answerHead(status, headers), expected) })
}

test('directory: the query is decoded and the answer encoded', async t => {
  t.same(decodeDirectoryQuery('/resolve?name=one.example&region=north&zone=zone-a'), { host: 'one.example', dataCentre: 'zone-a', region: 'north' })
  t.equal(decodeDirectoryQuery('/other'), undefined)
  t.same(JSON.parse(encodeDirectoryAnswer(['10.0.0.1:80'], 1)), { addresses: ['10.0.0.1:80'], 'ttl-s': 1 })
})

const settings = { 'node-name': 'edge-1', 'machine-class': 'edge', ip: '10.1.0.40', zone: 'zone-a', region: 'north', zones: { 'zone-a': 'north' }, listen: { front: '10.1.0.40:8005', ready: '10.1.0.40:8002', directory: '10.1.0.40:8009' }, 'internal-ports': [7700, 7715], seeds: ['10.1.0.41:8000'], bounds: { 'grace-s': 8, version_ms: 8000 }, platform: { address: '10.200.1.7:8007' } }

test('settings: a gateway', async t => {
  t.match(decodeSettings(JSON.stringify(settings), 'file'), { role: 'gateway', instance: 'edge-1', dataCentre: 'zone-a', callers: '10.1.0.40:8005', seeds: ['10.1.0.41'], stopGraceMilliseconds: 8000, store: '10.200.1.7:8007' })
})

test('settings: a weights agent', async t => {
  const side = { ...settings, 'machine-class': 'side', app: '10.1.0.43:8001', service: 'model-a', limits: { 'link-mbps': 8 } }
  t.match(decodeSettings(JSON.stringify(side), 'file'), { role: 'weights', engine: '10.1.0.43:8001', service: 'model-a', linkBytesPerSecond: 1_000_000 })
})

const invalidSettings: readonly { readonly name: string, readonly file: string, readonly places: readonly string[] }[] = [
  { name: 'invalid JSON is reported', file: '{', places: ['file'] },
  { name: 'every missing or invalid field is reported', file: JSON.stringify({ ...settings, ip: undefined, zone: 7, listen: { ...settings.listen, ready: 'nowhere' }, platform: {} }), places: ['file: ip', 'file: zone', 'file: platform.address', 'file: listen.ready'] }
]

for (const { name, file, places } of invalidSettings) {
  test(`settings: ${name}`, async t => {
    try {
      decodeSettings(file, 'file')
      t.fail('was accepted')
    } catch (error) {
      t.same(error instanceof FindingsError ? [...error.findings.map(({ place }) => place)].sort() : [], [...places].sort())
    }
  })
}
