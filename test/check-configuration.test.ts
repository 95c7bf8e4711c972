/** The check of a fleet configuration before it is sent; guards against a fault in it that shows only once callers are refused. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'tap'
import { PlatformFleetFormat } from '../platform/configuration-file.js'
import { runProgram } from '../script/launch.js'
import { checkConfiguration } from '../src/commands/check-configuration.js'
import { fleetDifferences } from '../src/core/fleet/configuration-differences.js'

type Entry = Readonly<Record<string, unknown>>

const format = new PlatformFleetFormat()
const route: Entry = { name: 'reviews', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'stream', resumable: true, 'timeout-ms': 6000, 'latency-goal-ms': 400, 'gap-target-ms': 400, priority: 1, 'max-attempts': 2, service: 'model', 'allowed-regions': ['north'] }
const model: Entry = { name: 'model', 'max-conns': 100, 'cold-start-s': 3, 'cold-per-s': 14, 'engine-config': { slots: 12, chunks: 64, 'chunk-bytes': 32768 } }
const origin: Entry = { name: 'weights', origin: '10.0.0.3:8000', 'link-mbps': 9 }
const organisation: Entry = { name: 'schools', 'api-keys': ['key-1'], priority: 1, 'allowed-regions': [] }
const valid: Entry = { version: 7, routes: [route], services: [model, origin], tenants: [organisation], limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 } }

const withRoute = (fields: Entry): Entry => ({ ...valid, routes: [{ ...route, ...fields }] })
const withModel = (fields: Entry): Entry => ({ ...valid, services: [{ ...model, ...fields }, origin] })

const cases: readonly { readonly name: string, readonly file: unknown, readonly finding: RegExp | undefined }[] = [
  { name: 'a valid configuration', file: valid, finding: undefined },
  { name: 'a list in place of an object', file: [], finding: /^file: must hold a JSON object/ },
  { name: 'no version', file: { ...valid, version: 'seven' }, finding: /^version: must be a number/ },
  { name: 'routes that are no list', file: { ...valid, routes: {} }, finding: /^routes: must be a list/ },
  { name: 'a route without a host', file: withRoute({ host: undefined }), finding: /^routes\[0\]\.host: is missing/ },
  { name: 'a route of an unknown kind', file: withRoute({ 'route-type': 'streams' }), finding: /^routes\[0\]\.route-type: must be one of safe, unsafe, stream/ },
  { name: 'a timeout that is no number', file: withRoute({ 'timeout-ms': '6000' }), finding: /^routes\[0\]\.timeout-ms: must be a number/ },
  { name: 'a repeated name', file: { ...valid, routes: [route, { ...route, 'path-prefix': '/s/' }] }, finding: /^routes\[1\]\.name: repeats the name "reviews"/ },
  { name: 'a route that an earlier one hides', file: { ...valid, routes: [route, { ...route, name: 'other', host: 'A.example' }] }, finding: /^routes\.other: never matches: the route "reviews"/ },
  { name: 'a path prefix without a slash', file: withRoute({ 'path-prefix': 'r/' }), finding: /^routes\.reviews, path prefix: does not begin with a slash/ },
  { name: 'a host with a port', file: withRoute({ host: 'a.example:80' }), finding: /^routes\.reviews, host: / },
  { name: 'an unknown service', file: withRoute({ service: 'modle' }), finding: /^routes\.reviews: names the unknown service "modle"/ },
  { name: 'a target that is never chosen', file: withRoute({ split: [{ service: 'model', weight: 1 }, { service: 'weights', weight: 0 }] }), finding: /^routes\.reviews: never chooses the service "weights"/ },
  { name: 'an organisation that no region may serve', file: { ...valid, tenants: [{ ...organisation, 'allowed-regions': ['south'] }] }, finding: /^routes\.reviews: has no region that may serve the organisation "schools"/ },
  { name: 'an organisation without a key', file: { ...valid, tenants: [{ ...organisation, 'api-keys': [] }] }, finding: /^organisations\.schools: has no key/ },
  { name: 'a key of two organisations', file: { ...valid, tenants: [organisation, { ...organisation, name: 'clinics' }] }, finding: /^organisations\.clinics: holds a key that "schools" holds too/ },
  { name: 'a goal above the timeout', file: withRoute({ 'latency-goal-ms': 7000 }), finding: /^routes\.reviews, latency goal: is 7000 ms, above the timeout of 6000 ms/ },
  { name: 'repeated runs of a request that is not idempotent', file: withRoute({ 'route-type': 'unsafe', resumable: false, 'gap-target-ms': 0 }), finding: /^routes\.reviews, attempts: are 2/ },
  { name: 'a priority that upstreams do not know', file: withRoute({ priority: 12 }), finding: /^routes\.reviews, priority: is 12, outside 0 to 9/ },
  { name: 'fewer connections than slots', file: withModel({ 'max-conns': 8 }), finding: /^services\.model: allows 8 connections, below the 12 slots/ },
  { name: 'weights without an origin', file: { ...valid, services: [model] }, finding: /^services\.model: loads weights, but no service is their origin/ },
  { name: 'a limit for cold upstreams of which none is cold', file: withModel({ 'cold-start-s': 0 }), finding: /^services\.model: limits the requests to a cold upstream, but none is ever cold/ },
  { name: 'a service without a route', file: { ...valid, services: [model, origin, { name: 'desk' }] }, finding: /^services\.desk: is used by no route/ },
  { name: 'targets without a weight', file: withRoute({ split: [{ service: 'model', weight: 0 }, { service: 'model', weight: 0 }] }), finding: /^routes\.reviews: has only targets of weight 0: all requests go to "model"/ },
  { name: 'a weight that is no number', file: withRoute({ split: [{ service: 'model', weight: 'all' }] }), finding: /^routes\[0\]\.split\[0\]\.weight: must be a number/ },
  { name: 'streams to the origin', file: withRoute({ service: 'weights' }), finding: /^routes\.reviews: sends streams to "weights", the origin of weights/ },
  { name: 'a key that is no text', file: { ...valid, tenants: [{ ...organisation, 'api-keys': ['key-1', 7] }] }, finding: /^tenants\[0\]\.api-keys: must be a list of texts/ },
  { name: 'a key twice in one organisation', file: { ...valid, tenants: [{ ...organisation, 'api-keys': ['key-1', 'key-1'] }] }, finding: /^organisations\.schools: holds a key twice/ },
  { name: 'a share of 0', file: { ...valid, tenants: [{ ...organisation, share: 0 }] }, finding: /^tenants\[0\]\.share: must be a positive number/ },
  { name: 'regions that are no texts', file: withRoute({ 'allowed-regions': [1] }), finding: /^routes\[0\]\.allowed-regions: must be a list of texts/ },
  { name: 'routes that need a key without organisations', file: { ...valid, tenants: [] }, finding: /^routes\.reviews: is not public, but without organisations it needs no key/ },
  { name: 'limits that are no object', file: { ...valid, limits: 7 }, finding: /^limits: must be an object/ },
  { name: 'a limit that is no number', file: { ...valid, limits: { 'max-body-bytes': 'none' } }, finding: /^limits\.max-body-bytes: must be a number/ },
  { name: 'a body limit of 0', file: { ...valid, limits: { 'max-body-bytes': 0 } }, finding: /^limits\.bodyBytes: is not above 0/ }
]

for (const { name, file, finding } of cases) {
  test(`check of a configuration: ${name}`, async t => {
    const { findings } = checkConfiguration(format.decode(file), undefined)
    const lines = findings.map(({ place, problem }) => `${place}: ${problem}`)
    if (finding === undefined) t.same(lines, [])
    else t.ok(lines.some(line => finding.test(line)), lines.join('\n'))
  })
}

const decoded = (file: Entry): NonNullable<ReturnType<PlatformFleetFormat['decode']>['configuration']> => {
  const { configuration } = format.decode(file)
  if (configuration === undefined) throw new Error('the file holds no configuration')
  return configuration
}

test('check of a configuration: differences name entries and fields', async t => {
  const next = { ...valid, version: 9, routes: [{ ...route, priority: 0, 'timeout-ms': 5000 }], services: [model, { name: 'desk' }], tenants: [organisation] }
  t.same(fleetDifferences(decoded(valid), decoded(next)), [
    { place: 'routes.reviews', change: 'changed', fields: ['timeoutMilliseconds', 'priority'] },
    { place: 'services.desk', change: 'added', fields: [] },
    { place: 'services.weights', change: 'removed', fields: [] }
  ])
  t.same(fleetDifferences(decoded(valid), decoded(valid)), [])
})

test('check of a configuration: a version that is not above the one in force is a finding', async t => {
  t.match(checkConfiguration(format.decode(valid), decoded(valid)).findings, [{ place: 'version', problem: /is 7, not above the version in force, 7/ }])
})

const folder = mkdtempSync(join(tmpdir(), 'pollendyke-test-'))
process.once('exit', () => { rmSync(folder, { recursive: true, force: true }) })

function fileOf (name: string, content: Entry): string {
  const file = join(folder, name)
  writeFileSync(file, JSON.stringify(content))
  return file
}

const inForce = fileOf('in-force.json', valid)
const commandCases: readonly { readonly name: string, readonly words: readonly string[], readonly code: number, readonly output: RegExp }[] = [
  { name: 'no findings, and what differs', words: [fileOf('next.json', { ...valid, version: 8, routes: [{ ...route, priority: 0 }] }), '--against', inForce], code: 0, output: /no findings\nversion 8 against version 7, which is in force\n~ routes\.reviews \(priority\)\n/ },
  { name: 'findings', words: [fileOf('faulty.json', withRoute({ service: 'modle' }))], code: 2, output: /routes\.reviews: names the unknown service "modle"/ },
  { name: 'findings as JSON', words: [fileOf('faulty-too.json', withRoute({ service: 'modle' })), '--json'], code: 2, output: /^\{"version":7,.*"findings":\[\{"place":"routes\.reviews"/ },
  { name: 'a file without a configuration to compare with', words: [inForce, '--against', fileOf('empty.json', {})], code: 2, output: /^$/ },
  { name: 'a file and a store to compare with', words: [inForce, '--against', inForce, '--store', '127.0.0.1:9'], code: 2, output: /^$/ },
  { name: 'a store that cannot be reached', words: [inForce, '--store', '127.0.0.1:9'], code: 3, output: /^$/ }
]

for (const { name, words, code, output } of commandCases) {
  test(`check of a configuration, command line: ${name}`, async t => {
    const run = await runProgram('pollendyke', ['check', ...words])
    t.equal(run.code, code, run.errors)
    t.match(run.output, output)
  })
}
