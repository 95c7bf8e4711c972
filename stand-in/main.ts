/** Runs one stand-in as a process: `main.js KIND LISTEN CONTROL`. */
import { EngineStandIn } from './engine.js'
import { InstancesStandIn } from './instances.js'
import { LogStandIn } from './log.js'
import { ServiceStandIn } from './service.js'
import { WeightsStandIn } from './weights.js'

const makers = {
  log: () => new LogStandIn(),
  instances: () => new InstancesStandIn(),
  weights: () => new WeightsStandIn(),
  engine: () => new EngineStandIn(),
  service: () => new ServiceStandIn()
} as const

/** Kinds of stand-in. */
export type StandInKind = keyof typeof makers

function isKind (text: string): text is StandInKind {
  return Object.hasOwn(makers, text)
}

const [kind = '', listen = '127.0.0.1:0', control = '127.0.0.1:0'] = process.argv.slice(2)
if (!isKind(kind)) throw new Error(`no stand-in is called "${kind}"; known: ${Object.keys(makers).join(', ')}`)
const standIn = makers[kind]()
const served = await standIn.listen(listen)
const controlled = await standIn.listenControl(control)
process.stdout.write(`ready ${served.port} ${controlled.port}\n`)
