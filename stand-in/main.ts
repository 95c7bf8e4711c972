/** Runs stand-ins in one process: `main.js KIND LISTEN CONTROL [KIND LISTEN CONTROL]...`. Prints `ready` with all ports, then a line of JSON for each event that they record. */
import type { Server } from 'node:http'
import { EngineStandIn } from './engine.js'
import { InstancesStandIn } from './instances.js'
import { LogStandIn } from './log.js'
import { recordToOutput } from './register.js'
import { ServiceStandIn } from './service.js'
import { WeightsStandIn } from './weights.js'

interface StandIn {
  listen (address: string): Promise<{ readonly server: Server, readonly port: number }>
  listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }>
}

const factories = {
  log: () => new LogStandIn(),
  instances: () => new InstancesStandIn(),
  weights: () => new WeightsStandIn(),
  engine: (address: string) => new EngineStandIn(address, recordToOutput),
  service: (address: string) => new ServiceStandIn(address, recordToOutput)
} as const satisfies Readonly<Record<string, (address: string) => StandIn>>

/** Kinds of stand-in, as given on the command line. */
export type StandInKind = keyof typeof factories

function isStandInKind (text: string): text is StandInKind {
  return Object.hasOwn(factories, text)
}

async function serve (kind: string, listen: string, control: string): Promise<string> {
  if (!isStandInKind(kind)) throw new Error(`no stand-in is called "${kind}"; known: ${Object.keys(factories).join(', ')}`)
  const standIn: StandIn = factories[kind](listen)
  const server = await standIn.listen(listen)
  const controlServer = await standIn.listenControl(control)
  return `${server.port} ${controlServer.port}`
}

const parameters = process.argv.slice(2)
const ready: string[] = []
for (let index = 0; index < parameters.length; index += 3) {
  ready.push(await serve(parameters[index] ?? '', parameters[index + 1] ?? '127.0.0.1:0', parameters[index + 2] ?? '127.0.0.1:0'))
}
process.stdout.write(`ready ${ready.join(' ')}\n`)
