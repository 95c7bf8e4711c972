/** Which services get the adaptive dispatch decisions; guards against deployments that do not ask for them being served differently. */
import { test } from 'tap'
import { profileOf, rankedServices } from '../src/core/dispatch/service-profile.js'
import { decodeMessage, encodeMessage } from '../src/transports/datagrams.js'
import { decodeSettings, dispatchVariable } from '../platform/settings.js'
import { FindingsError } from '../src/errors.js'
import type { Route } from '../src/types/fleet.js'
import type { NodeMessage } from '../src/types/node-messages.js'
import { replayRoute } from './fakes/engine-replay.js'

const routeOf = (priority: number, service: string, isPublic = false): Route => ({ ...replayRoute, priority, isPublic, targets: [{ service, weight: 1 }] })

const rankedCases: readonly { readonly name: string, readonly routes: readonly Route[], readonly ranked: readonly string[] }[] = [
  { name: 'no routes', routes: [], ranked: [] },
  { name: 'one priority for each service', routes: [routeOf(1, 'model'), routeOf(1, 'model'), routeOf(2, 'desk')], ranked: [] },
  { name: 'two priorities for one service', routes: [routeOf(0, 'model'), routeOf(2, 'model'), routeOf(2, 'desk')], ranked: ['model'] },
  { name: 'a public route of another priority', routes: [routeOf(0, 'desk', true), routeOf(2, 'desk')], ranked: [] }
]

for (const { name, routes, ranked } of rankedCases) {
  test(`service profile: ${name}`, async t => { t.same([...rankedServices({ routes })], ranked) })
}

test('service profile: the setting overrides what a service asks for', async t => {
  const facts = { isRanked: false, isPaced: false, hasEngines: true }
  t.same(profileOf('automatic', facts), { isRanked: false, isPaced: false, placesByTime: false, isAdaptive: false })
  t.same(profileOf('automatic', { ...facts, isPaced: true }), { isRanked: false, isPaced: true, placesByTime: false, isAdaptive: true })
  t.same(profileOf('automatic', { ...facts, isPaced: true, hasEngines: false }), { isRanked: false, isPaced: true, placesByTime: true, isAdaptive: true })
  t.same(profileOf('adaptive', facts), { isRanked: true, isPaced: true, placesByTime: true, isAdaptive: true })
  t.same(profileOf('basic', { isRanked: true, isPaced: true, hasEngines: false }), { isRanked: false, isPaced: false, placesByTime: false, isAdaptive: false })
})

test('service profile: an unknown dispatch mode is a finding with its place', async t => {
  try {
    decodeSettings('{}', 'file', { [dispatchVariable]: 'fast' })
    t.fail('accepted')
  } catch (error) {
    t.ok(error instanceof FindingsError && error.findings.some(({ place, problem }) => place === dispatchVariable && problem.includes('automatic, adaptive, basic')))
  }
})

const messages: readonly NodeMessage[] = [
  { kind: 'slot-request', number: 1, limit: 8 },
  { kind: 'slot-request', number: 1, limit: 8, order: { rank: 3, organisation: 'écoles', share: 2, work: 1400, isRetry: true, remainingMilliseconds: 5000 } },
  { kind: 'slot-reply', number: 1, load: 3, isGranted: true },
  { kind: 'slot-reply', number: 1, load: 3, isGranted: true, pace: { value: 2.5, ageMilliseconds: 120 } },
  { kind: 'pace', startedAt: 1000, pace: 2.5 }
]

test('service profile: messages with and without the new fields are decoded as they were sent', async t => {
  for (const message of messages) t.same(decodeMessage(encodeMessage(message)), message)
})
